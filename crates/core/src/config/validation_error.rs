//! Faults of a change.

use derive_more::{Display, Error};

/// One fault of a change.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field} = {value}: {reason}")]
pub struct ValidationError {
    /// Path of the field, such as `back_ends[appraiser-3].pool`.
    pub field: String,
    /// The value it has.
    pub value: String,
    /// Why that can't be.
    pub reason: String,
}

impl ValidationError {
    /// A fault of `field`, which has `value`.
    pub fn new(
        field: impl Into<String>,
        value: impl std::fmt::Display,
        reason: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: value.to_string(),
            reason: reason.into(),
        }
    }
}
