//! One traffic thread.

use std::sync::Arc;

use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::engine::EngineLink;
use crate::traffic::TrafficContext;
use crate::traffic::connection_server::ConnectionServer;

/// One traffic thread: serves the caller connections dealt to it and owns its own connections to
/// back ends, so that a stream never leaves its thread.
pub(crate) struct Worker {
    pub(crate) context: Arc<TrafficContext>,
    pub(crate) link: EngineLink,
}

impl Worker {
    pub(crate) fn new(context: Arc<TrafficContext>) -> Arc<Self> {
        let link = EngineLink::new(context.clone());
        Arc::new(Self { context, link })
    }

    /// Serves until `shutdown`, then gives open connections a while to end.
    pub(crate) async fn run(
        self: Arc<Self>,
        mut connections: UnboundedReceiver<std::net::TcpStream>,
        shutdown: CancellationToken,
    ) {
        let tasks = TaskTracker::new();
        let sweeper = tokio::spawn(self.link.clone().sweep_idle_connections());
        let server = ConnectionServer::new(self.clone(), shutdown.clone());
        loop {
            let stream = tokio::select! {
                stream = connections.recv() => stream,
                () = shutdown.cancelled() => None,
            };
            let Some(stream) = stream else { break };
            match TcpStream::from_std(stream) {
                Ok(stream) => {
                    tasks.spawn(server.clone().serve(stream));
                }
                Err(_) => self.context.metrics.caller_connections.dec(),
            }
        }
        shutdown.cancelled().await;
        tasks.close();
        let limit = self.context.settings.stop_connections_timeout;
        let _ = tokio::time::timeout(limit, tasks.wait()).await;
        sweeper.abort();
    }
}
