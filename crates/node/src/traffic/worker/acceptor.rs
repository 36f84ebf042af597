//! Accepts callers' connections.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use slog::{error, warn};
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::sync::CancellationToken;

use crate::traffic::TrafficContext;

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts callers' connections and deals them to the traffic threads in turn.
pub(in crate::traffic) struct Acceptor {
    context: Arc<TrafficContext>,
    listener: TcpListener,
    workers: Vec<UnboundedSender<std::net::TcpStream>>,
    next: usize,
}

impl Acceptor {
    pub(in crate::traffic) fn new(
        context: Arc<TrafficContext>,
        listener: TcpListener,
        workers: Vec<UnboundedSender<std::net::TcpStream>>,
    ) -> Self {
        Self {
            context,
            listener,
            workers,
            next: 0,
        }
    }

    pub(in crate::traffic) async fn run(mut self, shutdown: CancellationToken) {
        let logger = self.context.logger.clone();
        let listener = self.listener.try_clone();
        let listener = match listener.and_then(tokio::net::TcpListener::from_std) {
            Ok(listener) => listener,
            Err(cause) => {
                error!(logger, "listener_lost"; "cause" => cause.to_string());
                return;
            }
        };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = shutdown.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => self.hand_over(stream),
                Err(cause) => {
                    warn!(logger, "accept_failed"; "cause" => cause.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    fn hand_over(&mut self, stream: tokio::net::TcpStream) {
        let metrics = &self.context.metrics;
        let limit = self.context.settings.max_connections as i64;
        if metrics.caller_connections.get() >= limit {
            metrics.caller_connections_refused.inc();
            return;
        }
        let Ok(stream) = stream.into_std() else {
            return;
        };
        metrics.caller_connections.inc();
        let worker = &self.workers[self.next];
        self.next = (self.next + 1) % self.workers.len();
        if worker.send(stream).is_err() {
            metrics.caller_connections.dec();
        }
    }
}
