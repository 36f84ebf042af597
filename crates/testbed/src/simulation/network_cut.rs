//! Cuts of the network.

use super::Endpoint;
use super::Location;

/// Which messages a cut stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NetworkCut {
    /// Everything from one party to another, in that direction alone.
    OneWay {
        /// Sender.
        from: Endpoint,
        /// Receiver.
        to: Endpoint,
    },
    /// Everything into and out of a zone.
    Zone(usize),
    /// Everything between regions.
    Regions,
    /// Everything to and from the platform.
    Platform,
}

impl NetworkCut {
    /// Whether it stops messages from one party to another.
    pub fn stops(self, from: (Endpoint, Location), to: (Endpoint, Location)) -> bool {
        match self {
            Self::OneWay {
                from: sender,
                to: receiver,
            } => sender == from.0 && receiver == to.0,
            Self::Zone(zone) => {
                from.1.zone != to.1.zone && (from.1.zone == zone || to.1.zone == zone)
            }
            Self::Regions => from.1.region != to.1.region,
            Self::Platform => from.0 == Endpoint::Platform || to.0 == Endpoint::Platform,
        }
    }
}
