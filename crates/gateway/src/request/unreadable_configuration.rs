//! A configuration that could not be parsed.

use derive_more::{Display, Error};

/// A configuration that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{detail}")]
pub struct UnreadableConfiguration {
    /// Position and cause of the error.
    pub detail: String,
}
