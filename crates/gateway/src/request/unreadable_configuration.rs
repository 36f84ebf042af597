//! A configuration that makes no sense.

use derive_more::{Display, Error};

/// A configuration that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{detail}")]
pub struct UnreadableConfiguration {
    /// Where it stops making sense.
    pub detail: String,
}
