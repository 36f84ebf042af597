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
    /// It stood still: a short question had no answer within its whole limit, also on a new
    /// connection.
    #[display("no answer in time")]
    NoAnswer,
    /// It could not be reached, or the connection ended; a write may have been done.
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
