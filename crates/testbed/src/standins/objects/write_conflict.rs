//! A write that did not take effect.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A write that did not take effect, since its condition did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("the object has version {version}")]
pub struct WriteConflict {
    /// The version the object has; 0 when it does not exist.
    pub version: u64,
}
