//! What becomes of a request.

use std::time::Duration;

/// What becomes of a request of a tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It fits into the limit.
    Admitted,
    /// It does not.
    Refused {
        /// When the tenant's limit is likely to have room for it.
        retry_after: Duration,
        /// What all nodes may admit at once, for logs; negative after they admitted too much.
        balance: f64,
        /// Share of such requests that is admitted now, for logs.
        share: f64,
        /// What the tenant asks for a second at all nodes, for logs.
        asked: f64,
    },
}
