//! Callers that do no good.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::tenant_key;
use crate::scenario::Scenario;

/// Half-open connections to each node.
const HALF_OPEN: usize = 20;
/// Streams to each node that are read slowly.
const SLOW_READERS: usize = 3;
/// Connections of one flood to each node.
const FLOOD: usize = 100;
/// Time between floods.
const FLOOD_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of a slow reader.
const SLOW_READ: Duration = Duration::from_millis(200);
/// Bytes of one read of a slow reader.
const SLOW_READ_BYTES: usize = 64;
/// Pause before a connection that ended is made again.
const AGAIN: Duration = Duration::from_millis(300);

/// Callers that do no good, until they are dropped: connections with half a request, streams read a
/// few bytes at a time, and floods of connections that ask for nothing.
pub struct BadCallers {
    _tasks: JoinSet<()>,
}

impl BadCallers {
    /// Starts them against all nodes.
    pub fn start(scenario: &Scenario, nodes: &[SocketAddr]) -> Self {
        let mut tasks = JoinSet::new();
        let request = slow_request(scenario);
        for node in nodes.iter().copied() {
            for _ in 0..HALF_OPEN {
                tasks.spawn(half_open(node));
            }
            for _ in 0..SLOW_READERS {
                tasks.spawn(slow_reader(node, request.clone()));
            }
            tasks.spawn(floods(node));
        }
        Self { _tasks: tasks }
    }
}

async fn half_open(node: SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(node).await {
            let half = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-len";
            let _ = stream.write_all(half).await;
            // Until the node closes it.
            let _ = stream.read(&mut [0; SLOW_READ_BYTES]).await;
        }
        sleep(AGAIN).await;
    }
}

async fn slow_reader(node: SocketAddr, request: String) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(node).await {
            let _ = stream.write_all(request.as_bytes()).await;
            let mut buffer = [0; SLOW_READ_BYTES];
            while matches!(stream.read(&mut buffer).await, Ok(read) if read > 0) {
                sleep(SLOW_READ).await;
            }
        }
        sleep(AGAIN).await;
    }
}

async fn floods(node: SocketAddr) {
    loop {
        let connections = (0..FLOOD).map(|_| TcpStream::connect(node));
        let open = join_all(connections).await;
        drop(open);
        sleep(FLOOD_INTERVAL).await;
    }
}

fn slow_request(scenario: &Scenario) -> String {
    let model = &scenario.model_pool.model;
    let key = scenario
        .tenants
        .first()
        .map(|tenant| tenant_key(&tenant.name));
    let key = key.unwrap_or_default();
    let body = format!(
        r#"{{"model":"{model}","stream":true,"max_tokens":400,"messages":[{{"role":"user","content":"slow"}}]}}"#
    );
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}
