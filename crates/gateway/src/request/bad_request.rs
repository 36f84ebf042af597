//! A request head that makes no sense.

use derive_more::{Display, Error};

/// A request head that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field}: '{value}' {reason}")]
pub struct BadRequest {
    /// The header field.
    pub field: String,
    /// Its value.
    pub value: String,
    /// What is wrong with it.
    pub reason: String,
}
