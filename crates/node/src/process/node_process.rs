//! A running node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::lifecycle::NodePhase;
use slog::{Logger, error, info, warn};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::control::{ControlHandle, ControlThread};
use crate::reload::{ReloadError, ReloadReport, Reloader};
use crate::traffic::RunningNode;

use super::StopReport;

/// Longest wait for operators' calls under way when the process stops.
const RPC_STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// A running node: control thread, traffic threads and operator RPC.
pub struct NodeProcess {
    control: ControlThread,
    traffic: RunningNode,
    reloader: Arc<dyn Reloader>,
    rpc_address: SocketAddr,
    rpc: JoinHandle<()>,
    rpc_shutdown: CancellationToken,
    logger: Logger,
}

impl NodeProcess {
    pub(super) fn new(
        control: ControlThread,
        traffic: RunningNode,
        reloader: Arc<dyn Reloader>,
        rpc_address: SocketAddr,
        rpc: JoinHandle<()>,
        rpc_shutdown: CancellationToken,
        logger: Logger,
    ) -> Self {
        Self {
            control,
            traffic,
            reloader,
            rpc_address,
            rpc,
            rpc_shutdown,
            logger,
        }
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.traffic.address()
    }

    /// Where peers reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        self.control.peer_address()
    }

    /// Where operators connect.
    pub fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// The traffic side.
    pub fn traffic(&self) -> &RunningNode {
        &self.traffic
    }

    /// The control thread.
    pub fn control(&self) -> &ControlHandle {
        self.control.handle()
    }

    /// Reads settings and keys again.
    pub fn reload(&self) -> Result<ReloadReport, ReloadError> {
        let outcome = self.reloader.reload();
        match &outcome {
            Ok(report) => info!(self.logger, "reloaded";
                "changed" => report.changed.join(","),
                "restart_needed" => report.restart_needed.join(",")),
            Err(cause) => warn!(self.logger, "reload_failed"; "cause" => %cause),
        }
        outcome
    }

    /// Waits until the control thread has ended without having been asked to: the process can't
    /// follow the configuration any more and should be started anew.
    pub async fn control_lost(&self) {
        let mut phases = self.control().phases();
        let _ = phases.wait_for(|phase| *phase == NodePhase::Stopped).await;
        error!(self.logger, "control_lost");
    }

    /// Stops as planned: refuses new work as not run, finishes every request, then leaves.
    pub async fn stop(self) -> StopReport {
        let handle = self.control.handle().clone();
        // Peers are told first, so that they know before callers do. A control thread that is gone
        // has nothing to tell.
        let _ = handle.stop().await;
        self.traffic.stop().await;
        self.rpc_shutdown.cancel();
        let served = tokio::time::timeout(RPC_STOP_TIMEOUT, self.rpc).await;
        let operator_calls_cut = served.is_err();
        if operator_calls_cut {
            warn!(self.logger, "rpc_calls_cut");
        }
        let _ = handle.traffic_ended().await;
        drop(handle);
        let control = self.control;
        let _ = tokio::task::spawn_blocking(move || control.join()).await;
        info!(self.logger, "node_stopped");
        StopReport { operator_calls_cut }
    }

    /// Ends everything at once, as a crash would. Blocks.
    pub fn kill(self) {
        self.rpc.abort();
        self.rpc_shutdown.cancel();
        self.control.kill();
        self.traffic.kill();
    }
}
