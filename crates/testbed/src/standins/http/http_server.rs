//! A server that can be stopped abruptly and started again.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{Handler, Reply};
use crate::standins::port_reservation::{PortReservation, bound_socket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after an accept that failed, so that a lack of descriptors does not spin.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// The handler wants the connection closed without an answer.
#[derive(Debug, Display, Error)]
#[display("connection closed without an answer")]
struct NoAnswer;

/// A running server. Dropping it stops it abruptly, as a crash would.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    // Keeps the port for a restart.
    _reservation: PortReservation,
    cancelled: CancellationToken,
    tasks: TaskTracker,
}

impl HttpServer {
    /// Starts on a free loopback port.
    ///
    /// # Errors
    ///
    /// The port cannot be bound.
    pub async fn start<H: Handler>(handler: Arc<H>) -> io::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), handler).await
    }

    /// Starts at a given address, as a restarted process would.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start_at<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let reservation = PortReservation::of(address)?;
        let address = reservation.address();
        let listener = bound_socket(address)?.listen(BACKLOG)?;
        let server = Self {
            address,
            _reservation: reservation,
            cancelled: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let accept = accept_all(
            listener,
            handler,
            server.cancelled.clone(),
            server.tasks.clone(),
        );
        server.tasks.spawn(accept);
        Ok(server)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and cuts every connection; returns when all are closed.
    pub async fn stop(&self) {
        self.cancelled.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.cancelled.cancel();
    }
}

async fn accept_all<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    cancelled: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = cancelled.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let connection = serve(stream, Arc::clone(&handler));
        let cancelled = cancelled.clone();
        tasks.spawn(async move {
            tokio::select! {
                () = cancelled.cancelled() => {}
                () = connection => {}
            }
        });
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // Small chunks must leave at once; without it the measured times would be Nagle's.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(Arc::clone(&handler), request));
    // A connection that breaks is the peer's business.
    let _ = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Reply, NoAnswer> {
    handler.handle(request).await.ok_or(NoAnswer)
}
