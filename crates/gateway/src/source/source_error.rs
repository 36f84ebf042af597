//! Failures of the source.

use derive_more::{Display, Error};

/// Why the source gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SourceError {
    /// It does not hold the asked history any more: list again.
    #[display("history gone")]
    HistoryGone,
    /// It takes no more calls now; nothing was done.
    #[display("throttled")]
    Throttled,
    /// It could not be reached, or gave no answer in time; a write may have been done.
    #[display("unavailable: {detail}")]
    Unavailable {
        /// What the transport said.
        detail: String,
    },
    /// Its answer makes no sense.
    #[display("unreadable answer: {detail}")]
    Unreadable {
        /// What is wrong with it.
        detail: String,
    },
}

impl SourceError {
    /// It gave no answer in time.
    pub(super) fn no_answer() -> Self {
        Self::Unavailable {
            detail: "no answer in time".to_owned(),
        }
    }
}
