//! Puts published snapshots in force.

use std::sync::Arc;

use ryerouter_core::dispatch::RoutingSnapshot;
use slog::info;
use tokio::sync::watch;

use crate::traffic::TrafficContext;
use crate::traffic::running_node::publish;

/// Puts each snapshot that the control thread publishes in force.
pub(in crate::traffic) struct SnapshotFeed {
    context: Arc<TrafficContext>,
    snapshots: watch::Receiver<Arc<RoutingSnapshot>>,
}

impl SnapshotFeed {
    pub(in crate::traffic) fn new(
        context: Arc<TrafficContext>,
        snapshots: watch::Receiver<Arc<RoutingSnapshot>>,
    ) -> Self {
        Self { context, snapshots }
    }

    /// Runs until the publisher is gone; the last snapshot stays in force then.
    pub(in crate::traffic) async fn run(mut self) {
        // A snapshot published before this task started must not be missed.
        self.snapshots.mark_changed();
        while self.snapshots.changed().await.is_ok() {
            let snapshot = self.snapshots.borrow_and_update().clone();
            publish(&self.context, &snapshot);
            info!(self.context.logger, "snapshot_in_force";
                "config_version" => snapshot.catalog.version.0,
                "leaving" => snapshot.leaving.len());
        }
    }
}
