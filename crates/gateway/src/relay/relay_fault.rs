//! Why an answer ends early.

use derive_more::{Display, Error};

/// Why an answer that has begun ends early; the caller's connection is closed without its end.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("answer broke off: {detail}")]
pub struct RelayFault {
    /// What happened.
    pub detail: String,
}
