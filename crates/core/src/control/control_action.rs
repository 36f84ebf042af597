//! What the control state wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::claim::ClaimOutcome;
use crate::config::{ChangeAccepted, ChangeRefusal};
use crate::dispatch::RoutingSnapshot;
use crate::identity::{BackEndName, NodeName, StageName};
use crate::lifecycle::NodePhase;
use crate::limit::LimitGrant;
use crate::membership::ClusterStatus;
use crate::order::FencedOrder;
use crate::timestamp::Timestamp;

use super::{ObjectPrefix, OperationId, PeerMessage, StoreCall, StoreRequestId, StoreRevision};

/// What the control state wants done. Nothing here may be waited for: each result comes back as an
/// event.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Send a message in one datagram to a peer; loss is allowed.
    SendDatagram {
        /// The peer's address as in its settings.
        to: SocketAddr,
        /// The message; encodes to at most 1,400 bytes.
        message: PeerMessage,
    },
    /// Send a message over a stream to a peer.
    SendStream {
        /// The peer's address as in its settings.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Call the object API; the answer comes as `StoreAnswered` with the same id, always.
    StoreRequest {
        /// Identifies the answer.
        id: StoreRequestId,
        /// The call.
        call: StoreCall,
    },
    /// Watch the object API; replaces any watch of the same prefix.
    StartWatch {
        /// Keys to watch.
        prefix: ObjectPrefix,
        /// The first revision of interest.
        from: StoreRevision,
    },
    /// Stop watching.
    StopWatch {
        /// Keys that were watched.
        prefix: ObjectPrefix,
    },
    /// Start reading the machine list every two seconds.
    StartMachineList,
    /// Stop reading the machine list.
    StopMachineList,
    /// Give traffic threads a new snapshot.
    PublishSnapshot(Arc<RoutingSnapshot>),
    /// Answer an operator's change.
    AnswerOperator {
        /// The operation.
        operation: OperationId,
        /// Its result.
        answer: Result<ChangeAccepted, ChangeRefusal>,
    },
    /// Answer a claim.
    AnswerClaim {
        /// The operation.
        operation: OperationId,
        /// Its outcome.
        outcome: ClaimOutcome,
    },
    /// Give the borrower among the traffic threads tickets of a tenant's limit.
    LimitGranted {
        /// The bank.
        from: NodeName,
        /// The tickets.
        grant: LimitGrant,
    },
    /// Answer an operator's question for the state of the cluster.
    AnswerStatus {
        /// The operation.
        operation: OperationId,
        /// What is known.
        status: ClusterStatus,
    },
    /// Ask an engine for its load report; the answer comes as `EngineReported`, always.
    PollEngine {
        /// The engine.
        back_end: BackEndName,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Give an engine an order; the answer comes as `OrderAnswered`, always.
    OrderEngine {
        /// The engine.
        back_end: BackEndName,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: FencedOrder,
        /// The order must not be sent at or after this time.
        valid_until: Timestamp,
    },
    /// Take what traffic measured of a stage; if anything, it comes as `StageMeasured`.
    MeasureStage {
        /// The stage.
        stage: StageName,
        /// The node that wants it.
        asker: NodeName,
    },
    /// The node's own lifecycle moved on.
    EnterPhase(NodePhase),
}
