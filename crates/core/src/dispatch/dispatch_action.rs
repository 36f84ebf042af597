//! Actions of the dispatcher.

use crate::identity::{AttemptId, RequestId};
use crate::limit::LimitEnvelope;

use super::{Assignment, FinalOutcome};

/// Actions that a [`super::Dispatcher`] requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchAction {
    /// Start an attempt.
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
    /// Send a tenant limit message to another router process.
    SendLimit(LimitEnvelope),
    /// The request has ended; send the final answer to the caller immediately.
    Finish {
        /// The request.
        request: RequestId,
        /// Outcome of the request.
        outcome: FinalOutcome,
    },
}
