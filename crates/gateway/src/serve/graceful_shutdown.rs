//! Graceful shutdown of a node.

use std::time::Duration;

use slog::info;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::gateway::Gateway;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Callers that still know this node as available are accepted for this time; then the listener is closed.
    pub accept_grace: Duration,
    /// The shutdown ends after this time, even if requests are still active or answers are still being written.
    pub grace: Duration,
}

/// Stops serving: tells callers at once to use other nodes, and waits until active requests have been answered
/// and their answers written.
///
/// `accepting` is the task that accepts callers' connections. It is aborted, which closes its listener, even while
/// requests are active, because requests accepted later might be cut off at the end of the grace period.
pub async fn graceful_shutdown(
    gateway: &Gateway,
    accepting: JoinHandle<()>,
    settings: &ShutdownSettings,
) {
    let began = Instant::now();
    gateway.leave_until(gateway.clock().now().after(settings.grace));
    let end = began + settings.grace;
    while Instant::now() < end {
        if began.elapsed() >= settings.accept_grace {
            stop_accepting(gateway, &accepting);
            if !gateway.has_active_work() {
                break;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    stop_accepting(gateway, &accepting);
    let state = gateway.state();
    info!(gateway.log(), "stop"; "active_requests" => state.active_requests,
        "unwritten_answers" => state.unwritten_answers, "open_tunnels" => state.open_tunnels,
        "after_ms" => began.elapsed().as_millis() as u64);
}

fn stop_accepting(gateway: &Gateway, accepting: &JoinHandle<()>) {
    accepting.abort();
    gateway.note_stopped_accepting();
}
