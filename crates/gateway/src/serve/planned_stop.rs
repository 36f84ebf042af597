//! Stopping as planned.

use std::time::Duration;

use slog::info;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::gateway::Gateway;

const POLL: Duration = Duration::from_millis(20);

/// How a planned stop goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopSettings {
    /// Callers that learnt of this node before are served for so long; then the listener closes.
    pub late_callers: Duration,
    /// The process ends after this time, whatever still runs.
    pub grace: Duration,
}

/// Stops serving: callers are sent elsewhere at once, what runs is finished.
///
/// `accepting` is the task that accepts callers; it ends, with its listener, even while requests
/// run, since one that came later might be cut at the end of the grace period.
pub async fn planned_stop(gateway: &Gateway, accepting: JoinHandle<()>, settings: &StopSettings) {
    let began = Instant::now();
    gateway.leave();
    let end = began + settings.grace;
    while Instant::now() < end {
        if began.elapsed() >= settings.late_callers {
            accepting.abort();
            if gateway.state().active_requests == 0 {
                break;
            }
        }
        sleep(POLL).await;
    }
    accepting.abort();
    info!(gateway.log(), "stop"; "active_requests" => gateway.state().active_requests,
        "after_ms" => began.elapsed().as_millis() as u64);
}
