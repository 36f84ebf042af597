//! The control thread's ends of its queues.

use std::sync::Arc;

use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_core::limit::LimitEnvelope;
use tokio::sync::{mpsc, watch};

use super::claim_command::ClaimCommand;
use super::{BackEndObservation, ChangeLog, ControlClaimGate, ControlCommand, ControlHandle};

/// Commands of other threads that may wait for the control thread.
const COMMAND_QUEUE: usize = 1_024;
/// Messages about tenants' limits that may wait for the control thread; a lost one is repeated.
const LIMIT_QUEUE: usize = 4_096;
/// Observations of traffic threads that may wait for the control thread.
const OBSERVATION_QUEUE: usize = 4_096;

/// The control thread's ends of the queues between it and other threads.
pub(super) struct ControlQueues {
    pub(super) commands: mpsc::Receiver<ControlCommand>,
    pub(super) observations: mpsc::Receiver<BackEndObservation>,
    pub(super) claims: mpsc::UnboundedReceiver<ClaimCommand>,
    pub(super) limit_sends: mpsc::Receiver<LimitEnvelope>,
    pub(super) changes: ChangeLog,
    pub(super) snapshots: watch::Sender<Arc<RoutingSnapshot>>,
    pub(super) phases: watch::Sender<NodePhase>,
}

impl ControlQueues {
    /// Queues with the other threads' ends of them.
    pub(super) fn new() -> (Self, ControlHandle) {
        let (command_sender, commands) = mpsc::channel(COMMAND_QUEUE);
        let (observation_sender, observations) = mpsc::channel(OBSERVATION_QUEUE);
        let (claim_sender, claims) = mpsc::unbounded_channel();
        let (limit_sender, limit_sends) = mpsc::channel(LIMIT_QUEUE);
        let (snapshots, snapshot_feed) = watch::channel(Arc::<RoutingSnapshot>::default());
        let (phases, phase_feed) = watch::channel(NodePhase::Starting);
        let changes = ChangeLog::new();
        let handle = ControlHandle::new(
            command_sender,
            observation_sender,
            limit_sender,
            ControlClaimGate::new(claim_sender),
            snapshot_feed,
            phase_feed,
            changes.clone(),
        );
        let queues = Self {
            commands,
            observations,
            claims,
            limit_sends,
            changes,
            snapshots,
            phases,
        };
        (queues, handle)
    }
}
