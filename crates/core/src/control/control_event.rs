//! What happens to the control state.

use std::net::SocketAddr;

use crate::config::Change;
use crate::identity::{BackEndName, IdempotencyKey, Incarnation, NodeName, TenantName};
use crate::limit::LimitEnvelope;
use crate::migration::StageMeasurement;
use crate::order::{EngineReport, OrderAnswer};

use super::{MachineEntry, OperationId, PeerMessage, StoreAnswer, StoreRequestId, WatchEvent};

/// What happens to the control state.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// The process started; the first event.
    Started,
    /// A peer's message arrived.
    PeerMessageReceived {
        /// The peer's address as in its settings: of a datagram its source, of a stream the
        /// address its first line gives.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// A message over a stream could not be delivered.
    StreamFailed {
        /// The peer it was meant for.
        to: SocketAddr,
    },
    /// The object API answered, failed or did not answer in time.
    StoreAnswered {
        /// The request.
        id: StoreRequestId,
        /// The answer.
        answer: StoreAnswer,
    },
    /// Something came from a watch of the object API.
    Watch(WatchEvent),
    /// The machine list was read; it lags.
    MachineListRead(Vec<MachineEntry>),
    /// An operator wants a change.
    OperatorChange {
        /// Identifies the answer.
        operation: OperationId,
        /// The change.
        change: Change,
        /// Whether the change is only checked.
        dry_run: bool,
    },
    /// A request that must run at most once needs its key claimed.
    ClaimRequested {
        /// Identifies the answer.
        operation: OperationId,
        /// Whose key it is.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
    },
    /// The request of a granted claim certainly did not run and never will.
    ClaimReleased {
        /// Whose key it is.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
    },
    /// The request of a granted claim is over and ran or may have run.
    ClaimEnded {
        /// Whose key it is.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
    },
    /// The borrower among the traffic threads sends a message about a tenant's limit.
    LimitSent(LimitEnvelope),
    /// An operator asks which nodes are there and which configuration is in force on each.
    StatusRequested {
        /// Identifies the answer.
        operation: OperationId,
    },
    /// A back end said, in an answer or a load report, which process it is and whether it leaves.
    /// Worth sending when either differs from the last one of that back end.
    BackEndObserved {
        /// The back end.
        back_end: BackEndName,
        /// Its process.
        incarnation: Incarnation,
        /// Whether it leaves.
        draining: bool,
    },
    /// An engine reported its load, or did not answer.
    EngineReported {
        /// The engine.
        back_end: BackEndName,
        /// What it says; `None` when it did not answer.
        report: Option<EngineReport>,
    },
    /// An engine answered an order, or did not.
    OrderAnswered {
        /// The engine.
        back_end: BackEndName,
        /// Its answer.
        answer: OrderAnswer,
    },
    /// Traffic gave what it measured of a stage.
    StageMeasured {
        /// The node that wants it.
        asker: NodeName,
        /// What was measured.
        measurement: StageMeasurement,
    },
    /// The process was asked to stop.
    StopRequested,
    /// No request is in progress any more.
    TrafficEnded,
    /// Time passed; due every [`super::ControlState::TICK`].
    Tick,
}
