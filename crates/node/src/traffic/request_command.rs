//! What the dispatcher wants of one request's task.

use ryerouter_core::dispatch::{Assignment, FinalOutcome};
use ryerouter_core::identity::AttemptId;

/// What the dispatcher wants of one request's task.
#[derive(Debug)]
pub(crate) enum RequestCommand {
    /// Make an attempt.
    Start(Box<Assignment>),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Give the caller its final answer at once.
    Finish(FinalOutcome),
}
