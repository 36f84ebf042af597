//! Why a body is not admitted.

use derive_more::{Display, Error};

/// Why a body is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyShortage {
    /// It is longer than bodies may be on this machine, whatever else is held.
    #[display("too long for this node's memory")]
    TooLong,
    /// As many bodies as may wait do.
    #[display("too many bodies wait for memory")]
    TooManyWaiting,
    /// Not enough memory became free in time.
    #[display("no memory became free in time")]
    TimeOver,
}
