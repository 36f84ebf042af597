//! One connection to an engine.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;

use super::{AbortOnDrop, AttemptFailure, ConnectSettings, connect};
use crate::clock::Clock;
use crate::tunnel::{EngineStream, TunnelLoss};

/// Maximum size of the head of an engine's answer, and of what is read ahead of the answer's body: a caller that reads
/// slowly makes the node hold that much, whatever the engine sends.
const MAX_READ_AHEAD: usize = 16 * 1_024;

/// One connection to an engine; dropping it closes the socket at once.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) address: SocketAddr,
    pub(super) opened_at: Timestamp,
    /// When the peer last gave a sign of life; an idle one has been idle since. Shared with the calls
    /// that run on it.
    pub(super) heard_at: Rc<Cell<Timestamp>>,
    pub(super) idle_timeout: Option<Duration>,
    /// The node through which it goes, if it is a tunnel.
    pub(super) tunnel: Option<(NodeName, TunnelLoss)>,
    _task: AbortOnDrop,
}

impl Connection {
    /// Opens a direct connection for calls whose answers are read whole.
    pub async fn open(
        address: SocketAddr,
        settings: &ConnectSettings,
        clock: Clock,
    ) -> Result<Self, AttemptFailure> {
        let stream = connect(address, settings).await?;
        let stream = EngineStream::Left(stream);
        Ok(Self::set_up(&http1::Builder::new(), stream, address, clock).await?)
    }

    /// Sets up HTTP for requests of callers on an open stream.
    pub(super) async fn new(
        stream: EngineStream,
        address: SocketAddr,
        clock: Clock,
    ) -> Result<Self, hyper::Error> {
        let mut client = http1::Builder::new();
        client.max_buf_size(MAX_READ_AHEAD);
        Self::set_up(&client, stream, address, clock).await
    }

    async fn set_up(
        client: &http1::Builder,
        stream: EngineStream,
        address: SocketAddr,
        clock: Clock,
    ) -> Result<Self, hyper::Error> {
        let handshake = client.handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        let task = tokio::task::spawn_local(async move {
            // Its end shows in the exchange that runs on it.
            let _ = connection.await;
        });
        let opened_at = clock.now();
        Ok(Self {
            sender,
            address,
            opened_at,
            heard_at: Rc::new(Cell::new(opened_at)),
            idle_timeout: None,
            tunnel: None,
            _task: AbortOnDrop::new(task),
        })
    }

    /// Whether it is a tunnel and the node is gone through which it goes.
    pub fn is_tunnel_lost(&self) -> bool {
        let tunnel = self.tunnel.as_ref();
        tunnel.is_some_and(|(_, loss)| loss.is_lost())
    }

    /// Whether a request may be sent on it now.
    pub(super) fn is_usable(&self, now: Timestamp, most_idle: Duration) -> bool {
        let limit = self
            .idle_timeout
            .map_or(most_idle, |told| most_idle.min(told.mul_f64(0.5)));
        self.sender.is_ready() && now.since(self.heard_at.get()) < limit
    }
}
