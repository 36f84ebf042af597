//! What happens to a dispatcher.

use std::sync::Arc;

use crate::identity::{AttemptId, BackEndName, NodeName, RequestId};
use crate::limit::LimitGrant;

use super::{AttemptOutcome, EngineObservation, RequestProfile, RoutingSnapshot};

/// What happens to a dispatcher.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// A request arrived. Its id must differ from those of all requests that have not ended; one
    /// that does not is refused.
    Submitted(Box<RequestProfile>),
    /// The head of an answer arrived.
    AnswerStarted {
        /// The attempt.
        attempt: AttemptId,
        /// What the head says of the back end.
        observation: EngineObservation,
    },
    /// The first token of an answer arrived.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        outcome: AttemptOutcome,
        /// What the answer said of the back end, if there was one.
        observation: Option<EngineObservation>,
    },
    /// The caller left.
    CallerLeft {
        /// The request.
        request: RequestId,
    },
    /// A load report of a back end arrived; it lags.
    LoadReported {
        /// The back end.
        back_end: BackEndName,
        /// What it reports.
        observation: EngineObservation,
    },
    /// The control thread published a new snapshot.
    SnapshotPublished(Arc<RoutingSnapshot>),
    /// A bank granted tickets of a tenant's limit.
    LimitGranted {
        /// The bank's process.
        from: NodeName,
        /// The tickets.
        grant: LimitGrant,
    },
    /// Time passed; due about every 10 ms while requests wait.
    Tick,
}
