//! Access to the control thread.

use std::sync::Arc;

use ryerouter_core::config::{Change, ChangeAccepted, ChangeRefusal};
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_core::limit::LimitEnvelope;
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    BackEndObservation, ChangeLog, ControlClaimGate, ControlCommand, ControlGone, ControlReport,
    GrantSink,
};

/// Access to the control thread from other threads; cheap to clone.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    commands: mpsc::Sender<ControlCommand>,
    observations: mpsc::Sender<BackEndObservation>,
    limit_sends: mpsc::Sender<LimitEnvelope>,
    claims: ControlClaimGate,
    snapshots: watch::Receiver<Arc<RoutingSnapshot>>,
    phases: watch::Receiver<NodePhase>,
    changes: ChangeLog,
}

impl ControlHandle {
    pub(super) fn new(
        commands: mpsc::Sender<ControlCommand>,
        observations: mpsc::Sender<BackEndObservation>,
        limit_sends: mpsc::Sender<LimitEnvelope>,
        claims: ControlClaimGate,
        snapshots: watch::Receiver<Arc<RoutingSnapshot>>,
        phases: watch::Receiver<NodePhase>,
        changes: ChangeLog,
    ) -> Self {
        Self {
            commands,
            observations,
            limit_sends,
            claims,
            snapshots,
            phases,
            changes,
        }
    }

    /// Snapshots as they are published; the first one is empty.
    pub fn snapshots(&self) -> watch::Receiver<Arc<RoutingSnapshot>> {
        self.snapshots.clone()
    }

    /// Phases of the node as they are entered.
    pub fn phases(&self) -> watch::Receiver<NodePhase> {
        self.phases.clone()
    }

    /// The latest accepted changes.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// Makes a change of configuration, or only checks it.
    pub async fn change(
        &self,
        change: Change,
        dry_run: bool,
    ) -> Result<Result<ChangeAccepted, ChangeRefusal>, ControlGone> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlCommand::Change {
            change,
            dry_run,
            reply,
        })
        .await?;
        answer.await.map_err(|_| ControlGone)
    }

    /// What this node knows of all nodes.
    pub async fn status(&self) -> Result<ControlReport, ControlGone> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlCommand::Status { reply }).await?;
        answer.await.map_err(|_| ControlGone)
    }

    /// Where traffic threads tell of changed back ends. An observation that finds the queue full
    /// may be dropped: the next answer of that back end tells the same again.
    pub fn observations(&self) -> mpsc::Sender<BackEndObservation> {
        self.observations.clone()
    }

    /// Claims of the traffic threads.
    pub fn claims(&self) -> ControlClaimGate {
        self.claims.clone()
    }

    /// Where the borrower among the traffic threads sends its messages.
    pub fn limit_sends(&self) -> mpsc::Sender<LimitEnvelope> {
        self.limit_sends.clone()
    }

    /// Gives tickets of tenants' limits to this sink from now on. Meant for the start of the
    /// process, when the queue of the control thread has room.
    pub fn set_grant_sink(&self, sink: Box<dyn GrantSink>) -> Result<(), ControlGone> {
        let command = ControlCommand::SetGrantSink(sink);
        self.commands.try_send(command).map_err(|_| ControlGone)
    }

    /// Begins a planned stop.
    pub async fn stop(&self) -> Result<(), ControlGone> {
        self.send(ControlCommand::Stop).await
    }

    /// Tells that the last request in progress has ended; the control thread then ends.
    pub async fn traffic_ended(&self) -> Result<(), ControlGone> {
        self.send(ControlCommand::TrafficEnded).await
    }

    async fn send(&self, command: ControlCommand) -> Result<(), ControlGone> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| ControlGone)
    }
}
