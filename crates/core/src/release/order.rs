//! What an operator orders.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::PoolName;

/// Version of the software that an engine runs, as operators name it.
pub type SoftwareVersion = String;

/// A pool's requests are to move to engines of another version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The version.
    #[serde(rename = "t")]
    pub target: SoftwareVersion,
    /// The time over which the requests move.
    #[serde(rename = "r")]
    pub ramp: Duration,
    /// Revision of the source at which the order was made: one that was deleted and given again is
    /// another order.
    #[serde(rename = "m")]
    pub made: u64,
}
