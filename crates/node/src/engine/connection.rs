//! One connection to a back end.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::LinkError;

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Bytes read at once from a model engine. A silent stream holds about twice as much for reading;
/// the head of an engine's answer must fit in it.
const MODEL_READ_BYTES: usize = 4 * 1024;

/// How much is read at once from a back end.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ReadLimits {
    /// A model engine: small heads, and streams that are mostly silent.
    Model,
    /// A plain service: heads of any usual size, and large bodies.
    Service {
        /// Most bytes buffered.
        buffer_bytes: usize,
    },
}

/// One HTTP/1.1 connection to a back end.
///
/// Whoever uses it also drives it, in its own task: a stream's bytes reach the caller without a
/// hop between tasks, and all that has arrived is taken at once.
pub(crate) struct EngineConnection {
    pub(crate) address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    ended: bool,
    pub(crate) idle_since: Instant,
}

/// Why a request got no answer on a connection.
pub(crate) enum SendFailure {
    /// Not a byte of it was written.
    NotWritten,
    /// Bytes of it may have been written.
    Lost(hyper::Error),
}

impl EngineConnection {
    /// Takes over an open connection.
    pub(crate) async fn open(
        address: SocketAddr,
        stream: TcpStream,
        limits: ReadLimits,
    ) -> Result<Self, LinkError> {
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        match limits {
            ReadLimits::Model => builder.read_buf_exact_size(Some(MODEL_READ_BYTES)),
            ReadLimits::Service { buffer_bytes } => builder.max_buf_size(buffer_bytes),
        };
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        // An HTTP/1.1 handshake writes nothing.
        let (sender, driver) = handshake.map_err(|_| LinkError::NotWritten)?;
        Ok(Self {
            address,
            sender,
            driver,
            ended: false,
            idle_since: Instant::now(),
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let mut answer = pin!(self.sender.try_send_request(request));
        let answered = poll_fn(|context| {
            if let Poll::Ready(answered) = answer.as_mut().poll(context) {
                return Poll::Ready(answered);
            }
            drive(&mut self.driver, &mut self.ended, context);
            answer.as_mut().poll(context)
        });
        answered.await.map_err(|mut failure| {
            let unwritten = failure.take_message().is_some();
            if unwritten {
                SendFailure::NotWritten
            } else {
                SendFailure::Lost(failure.into_error())
            }
        })
    }

    /// Does the connection's reading and writing.
    pub(crate) fn drive(&mut self, context: &mut Context<'_>) {
        drive(&mut self.driver, &mut self.ended, context);
    }

    /// Whether the connection can take a request; drives it, to learn of a close by the peer.
    pub(crate) fn check_usable(&mut self, context: &mut Context<'_>) -> bool {
        self.drive(context);
        !self.ended && matches!(self.sender.poll_ready(context), Poll::Ready(Ok(())))
    }
}

fn drive(driver: &mut Driver, ended: &mut bool, context: &mut Context<'_>) {
    if !*ended {
        *ended = Pin::new(driver).poll(context).is_ready();
    }
}
