//! Stopping as planned.

use std::time::Duration;

use slog::info;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::gateway::Gateway;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a planned stop goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Callers that learnt of this node before are served for so long; then the listener closes.
    pub accept_grace: Duration,
    /// The process ends after this time, whatever still runs.
    pub grace: Duration,
}

/// Stops serving: callers are sent elsewhere at once, what runs is finished.
///
/// `accepting` is the task that accepts callers; it ends, with its listener, even while requests
/// run, since one that came later might be cut at the end of the grace period.
pub async fn graceful_shutdown(
    gateway: &Gateway,
    accepting: JoinHandle<()>,
    settings: &ShutdownSettings,
) {
    let began = Instant::now();
    gateway.leave();
    let end = began + settings.grace;
    while Instant::now() < end {
        if began.elapsed() >= settings.accept_grace {
            accepting.abort();
            if gateway.state().active_requests == 0 {
                break;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    accepting.abort();
    info!(gateway.log(), "stop"; "active_requests" => gateway.state().active_requests,
        "after_ms" => began.elapsed().as_millis() as u64);
}
