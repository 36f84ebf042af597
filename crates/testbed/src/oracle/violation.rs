//! A broken promise.

use derive_more::{Display, Error};

use super::Promise;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("promise={promise} at_us={at_us} {detail}")]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When it was seen, in microseconds of the run.
    pub at_us: u64,
    /// What was seen, as `key=value` pairs.
    pub detail: String,
}
