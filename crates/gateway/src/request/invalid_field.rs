//! An invalid header field of an answer.

use derive_more::Display;

/// A header field of an answer that could not be parsed and is ignored.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{field}: '{value}' {reason}")]
pub struct InvalidField {
    /// Name of the field.
    pub field: String,
    /// Its value.
    pub value: String,
    /// What is wrong with it.
    pub reason: &'static str,
}
