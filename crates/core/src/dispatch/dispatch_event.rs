//! Events of the dispatcher.

use std::sync::Arc;

use crate::identity::{AttemptId, BackEndName, NodeName, RequestId};
use crate::limit::LimitGrant;

use super::{AttemptOutcome, EngineObservation, RequestProfile, RoutingSnapshot};

/// Events that a [`super::Dispatcher`] handles.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// A request arrived. It is refused if another request with the same id has not ended.
    Submitted(Box<RequestProfile>),
    /// The head of an answer arrived.
    AnswerStarted {
        /// The attempt.
        attempt: AttemptId,
        /// State of the back end as stated in the head.
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
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// State of the back end as stated in the answer, if there was one.
        observation: Option<EngineObservation>,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A load report of a back end arrived; it is older than an answer received now.
    LoadReported {
        /// The back end.
        back_end: BackEndName,
        /// The reported state.
        observation: EngineObservation,
    },
    /// The control thread published a new routing snapshot.
    SnapshotPublished(Arc<RoutingSnapshot>),
    /// An allocator granted permits of a tenant's limit.
    LimitGranted {
        /// Node of the allocator.
        from: NodeName,
        /// The granted permits.
        grant: LimitGrant,
    },
    /// Timer tick; expected about every 10 ms while requests are queued.
    Tick,
}
