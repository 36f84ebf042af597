//! A node on a thread of its own that stops as planned and then ends, as its process would.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::Duration;

use ryerouter_gateway::catalogue::{CallerLimits, RequestKind};
use ryerouter_gateway::serve::ShutdownSettings;
use tokio::task::yield_now;

use super::gateway_bench::{GatewayBench, run};
use super::records::{engine, route, table_with_limits};
use super::scripted_engine::{ScriptedEngine, Step};

/// Longest wait for a node that has nothing left to do.
const AT_ONCE: Duration = Duration::from_secs(10);
/// Long beside the time that a node without work takes to end.
const A_WHILE: Duration = Duration::from_millis(200);

/// The library buffers as much of a stream as the longest head.
const BUFFER_BYTES: usize = 4 * 1_024 * 1_024;

/// A node with one engine that stops once it has had so many requests and none is in progress. Its
/// connections end with it.
pub struct StoppingNode {
    pub address: SocketAddr,
    ended: Receiver<()>,
}

impl StoppingNode {
    /// Starts a node whose engine takes these steps.
    pub fn start(kind: RequestKind, steps: Vec<Step>, grace: Duration) -> Self {
        let settings = ShutdownSettings {
            accept_grace: Duration::ZERO,
            grace,
        };
        let (told, addresses) = channel();
        let (ends, ended) = channel();
        thread::spawn(move || {
            run(async {
                let count = steps.len();
                let (scripted, address) = ScriptedEngine::start(steps).await;
                let entries = vec![engine("e1", address, 1)];
                let limits = CallerLimits {
                    head_bytes: BUFFER_BYTES,
                    ..CallerLimits::default()
                };
                let table = table_with_limits(1, vec![route(kind)], limits);
                let bench = GatewayBench::start(Some(table), entries).await;
                told.send(bench.address).expect("test waits");
                scripted.until_arrived(count).await;
                while bench.gateway.state().active_requests > 0 {
                    yield_now().await;
                }
                bench.stop(settings).await.expect("stop");
            });
            // Fails when the test has ended before.
            let _ = ends.send(());
        });
        let address = addresses.recv_timeout(AT_ONCE).expect("node starts");
        Self { address, ended }
    }

    /// Whether it goes on for a while although it was told to stop.
    pub fn goes_on(&self) -> bool {
        self.ended.recv_timeout(A_WHILE) == Err(RecvTimeoutError::Timeout)
    }

    /// Whether it ends without a wait for the rest of a long grace period.
    pub fn ends(&self) -> bool {
        self.ended.recv_timeout(AT_ONCE).is_ok()
    }
}
