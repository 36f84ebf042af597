//! Decision on a request.

use std::time::Duration;

use super::Outlook;

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The pool has room for the request.
    Admitted,
    /// The pool can't begin the request in time.
    Refused {
        /// Time after which the pool is likely to have room.
        retry_after: Duration,
        /// Share of such requests that is admitted now, for logs.
        share: f64,
        /// What the request would have met, for logs.
        outlook: Outlook,
    },
}
