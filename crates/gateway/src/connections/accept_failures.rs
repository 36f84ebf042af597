//! Accepts that failed.

use std::io;
use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::warn;
use tokio::net::TcpListener;

use crate::gateway::Gateway;

/// One line stands for all failures of such a time: without descriptors each listener fails some
/// fifty times a second.
const LOG_SPAN: Duration = Duration::from_secs(5);

/// Accepts of one listener that failed, for the log.
#[derive(Debug, Default)]
pub(super) struct AcceptFailures {
    written_at: Option<Timestamp>,
    left_out: u64,
}

impl AcceptFailures {
    /// Writes the first of a span, and counts the others.
    pub(super) fn note(&mut self, gateway: &Gateway, listener: &TcpListener, error: &io::Error) {
        let now = gateway.clock().now();
        let is_told = |at: Timestamp| now.since(at) < LOG_SPAN;
        if self.written_at.is_some_and(is_told) {
            self.left_out += 1;
            return;
        }
        let address = listener.local_addr().ok();
        warn!(gateway.log(), "accept_failed"; "listener" => address.map(|at| at.to_string()),
            "error" => %error, "left_out" => std::mem::take(&mut self.left_out));
        self.written_at = Some(now);
    }
}
