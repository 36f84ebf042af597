//! An invalid field in the head of a request.

use derive_more::{Display, Error};

/// A caller's request whose head has an invalid field.
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
