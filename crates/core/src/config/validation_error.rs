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
