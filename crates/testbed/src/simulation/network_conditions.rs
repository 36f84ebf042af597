//! What the network does to messages.

use std::time::Duration;

/// What the network does to messages between zones, as probabilities of 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NetworkConditions {
    /// Probability that a datagram is lost.
    pub datagram_loss: f64,
    /// Probability that a datagram arrives twice.
    pub datagram_duplication: f64,
    /// Delay within a zone, one way.
    pub zone_delay: Duration,
    /// Delay between zones, one way.
    pub region_delay: Duration,
    /// Delay between regions, one way.
    pub wide_area_delay: Duration,
    /// Most extra delay; it reorders datagrams.
    pub jitter: Duration,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        Self {
            datagram_loss: 0.002,
            datagram_duplication: 0.001,
            zone_delay: Duration::from_micros(200),
            region_delay: Duration::from_micros(1_200),
            wide_area_delay: Duration::from_millis(8),
            jitter: Duration::from_micros(300),
        }
    }
}
