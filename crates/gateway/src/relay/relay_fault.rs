//! The error that ends an answer early.

use derive_more::{Display, Error};

/// Why an answer that has begun can't be completed; the caller's connection is closed before the end of the answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("answer broke off: {detail}")]
pub struct RelayFault {
    /// What happened.
    pub detail: String,
}
