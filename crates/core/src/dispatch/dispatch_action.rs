//! What a dispatcher wants done.

use crate::identity::{AttemptId, RequestId};
use crate::limit::LimitEnvelope;

use super::{Assignment, FinalOutcome};

/// What a dispatcher wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchAction {
    /// Make an attempt.
    Start {
        /// The request.
        request: RequestId,
        /// The attempt.
        assignment: Box<Assignment>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a message about a tenant's limit to another router process.
    SendLimit(LimitEnvelope),
    /// The request is over; give the caller its final answer at once.
    Finish {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: FinalOutcome,
    },
}
