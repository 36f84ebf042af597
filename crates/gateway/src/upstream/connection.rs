//! One connection to an engine.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;

use super::head_limit::HeadLimit;
use super::limited_stream::LimitedStream;
use super::{AbortOnDrop, AttemptFailure, ConnectSettings, connect};
use crate::clock::Clock;
use crate::tunnel::{EngineStream, TunnelLoss};

/// Maximum size of the head of an engine's answer, and of what is read ahead of the answer's body: a caller that reads
/// slowly makes the node hold that much, whatever the engine sends.
const MAX_READ_AHEAD: usize = 16 * 1_024;
/// The same for calls whose answers are read whole.
const READ_BUFFER_BYTES: usize = 64 * 1_024;

/// One connection to an engine; dropping it closes the socket at once.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
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
        Ok(Self::set_up(READ_BUFFER_BYTES, stream, address, clock).await?)
    }

    /// Sets up HTTP for requests of callers on an open stream.
    pub(super) async fn new(
        stream: EngineStream,
        address: SocketAddr,
        clock: Clock,
    ) -> Result<Self, hyper::Error> {
        Self::set_up(MAX_READ_AHEAD, stream, address, clock).await
    }

    async fn set_up(
        max_buf_size: usize,
        stream: EngineStream,
        address: SocketAddr,
        clock: Clock,
    ) -> Result<Self, hyper::Error> {
        let head_limit = HeadLimit::new(clock);
        let stream = LimitedStream::new(stream, head_limit.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(max_buf_size);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            // Its end shows in the exchange that runs on it.
            let _ = connection.await;
        });
        let opened_at = clock.now();
        Ok(Self {
            sender,
            head_limit,
            address,
            opened_at,
            heard_at: Rc::new(Cell::new(opened_at)),
            idle_timeout: None,
            tunnel: None,
            _task: AbortOnDrop::new(task),
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_limit.begin();
        let answer = self.sender.try_send_request(request).await?;
        self.head_limit.end();
        Ok(answer)
    }

    /// Why no head came, where hyper's error tells less.
    pub(super) fn failure_detail(&self, error: &hyper::Error) -> String {
        let fault = self.head_limit.fault();
        fault.map_or_else(|| error.to_string(), |fault| fault.to_string())
    }

    /// Whether the peer has sent anything since a request was sent.
    pub(super) fn has_received(&self) -> bool {
        self.head_limit.has_received()
    }

    /// Whether it has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it is a tunnel and the node is gone through which it goes.
    pub fn is_tunnel_lost(&self) -> bool {
        self.lost_through().is_some()
    }

    /// The node through which it went, if it is a lost tunnel.
    pub(super) fn lost_through(&self) -> Option<&NodeName> {
        let (node, loss) = self.tunnel.as_ref()?;
        loss.is_lost().then_some(node)
    }

    /// Whether a request may be sent on it now.
    pub(super) fn is_usable(&self, now: Timestamp, most_idle: Duration) -> bool {
        let limit = self
            .idle_timeout
            .map_or(most_idle, |told| most_idle.min(told.mul_f64(0.5)));
        self.sender.is_ready() && now.since(self.heard_at.get()) < limit
    }
}
