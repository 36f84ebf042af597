//! A header field of an answer that makes no sense.

use derive_more::Display;

/// A header field of an answer that makes no sense and is passed over.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{field}: '{value}' {reason}")]
pub struct InvalidField {
    /// The field.
    pub field: String,
    /// Its value.
    pub value: String,
    /// What is wrong with it.
    pub reason: &'static str,
}
