//! Errors of reading settings and keys again.

use derive_more::{Display, Error};

/// Why settings or keys could not be read again. Nothing has changed then.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("not reloaded, the former settings stay in force: {detail}")]
pub struct ReloadError {
    /// All faults, each with file, field, value and reason.
    pub detail: String,
}

impl ReloadError {
    /// An error with the text of its cause.
    pub fn of(cause: impl ToString) -> Self {
        Self {
            detail: cause.to_string(),
        }
    }
}
