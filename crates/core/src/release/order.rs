//! Order of a release.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::PoolName;

/// Version of an engine's software, as named by operators.
pub type SoftwareVersion = String;

/// An operator's order to move a pool's requests to engines of another version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// Version to which the requests move.
    #[serde(rename = "t")]
    pub target: SoftwareVersion,
    /// Time within which the requests should move.
    #[serde(rename = "r")]
    pub ramp: Duration,
    /// Revision of the source at which the order was created. An order that was deleted and created
    /// again is a different order.
    #[serde(rename = "m")]
    pub made: u64,
}
