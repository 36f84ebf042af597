//! Decision on a request of a tenant.

use std::time::Duration;

/// Decision on a request of a tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The request is within the limit.
    Admitted,
    /// The request exceeds the limit.
    Refused {
        /// Time after which the tenant's limit is likely to admit the request.
        retry_after: Duration,
        /// Amount that all nodes may admit at once, for logs; negative after they admitted too
        /// much.
        balance: f64,
        /// Share of such requests that is admitted now, for logs.
        share: f64,
        /// Amount per second that the tenant asks for at all nodes, for logs.
        asked: f64,
    },
}
