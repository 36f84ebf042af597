//! Streams that peers open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use ryerouter_core::control::ControlEvent;
use ryerouter_wire::peer::{
    JsonLineCodec, LineBudget, MAXIMUM_LINE_BYTES, PEER_PROTOCOL_VERSION, PeerCodecError,
    PeerHello, StreamLine,
};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::FramedRead;

use crate::tls::ServerStream;

use super::PeerContext;

/// Most streams of peers at once.
const MAXIMUM_STREAMS: usize = 2_048;
/// Most memory for incomplete lines of all streams together.
const INCOMPLETE_LINES_BYTES: usize = 32 << 20;
/// Longest wait for the first line of a stream.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest silence of a stream; its opener closes it much earlier when it has nothing to say.
const IDLE_TIMEOUT: Duration = Duration::from_secs(180);
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Takes the streams that peers open and passes their messages on.
#[derive(Clone)]
pub struct StreamServer {
    context: PeerContext,
    permits: Arc<Semaphore>,
    incomplete_lines: Arc<LineBudget>,
}

type Lines = FramedRead<ServerStream, JsonLineCodec<StreamLine>>;

impl StreamServer {
    /// Starts to accept.
    pub(crate) fn start(listener: TcpListener, context: PeerContext) {
        let server = Self {
            context,
            permits: Arc::new(Semaphore::new(MAXIMUM_STREAMS)),
            incomplete_lines: LineBudget::new(INCOMPLETE_LINES_BYTES),
        };
        tokio::spawn(server.accept(listener));
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(cause) => {
                    warn!(self.context.logger, "peer_accept_failed"; "cause" => %cause);
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            self.context.metrics.streams_refused.inc();
            return;
        };
        let server = self.clone();
        tokio::spawn(async move {
            let from = stream.peer_addr().ok();
            match server.handshake(stream).await {
                Ok(stream) => server.serve_logged(stream, from).await,
                Err(cause) => {
                    server.context.metrics.handshakes_failed.inc();
                    warn!(server.context.logger, "peer_handshake_failed"; "from" => ?from, "cause" => %cause);
                }
            }
            drop(permit);
        });
    }

    async fn handshake(&self, stream: TcpStream) -> std::io::Result<ServerStream> {
        match &self.context.tls {
            Some(tls) => tls.server.accept(stream).await,
            None => Ok(ServerStream::Plain(stream)),
        }
    }

    async fn serve_logged(&self, stream: ServerStream, from: Option<SocketAddr>) {
        if let Err(cause) = self.serve(stream).await {
            self.context.metrics.malformed.inc();
            warn!(self.context.logger, "peer_stream_closed"; "from" => ?from, "cause" => %cause);
        }
    }

    /// Passes messages on until the stream ends; a stream that breaks off or falls silent has
    /// ended, a line that is no message is an error.
    async fn serve(&self, stream: ServerStream) -> Result<(), PeerCodecError> {
        let budget = self.incomplete_lines.clone();
        let codec = JsonLineCodec::with_budget(MAXIMUM_LINE_BYTES, budget);
        let mut lines = Lines::new(stream, codec);
        let Some(line) = next_line(&mut lines, HELLO_TIMEOUT).await? else {
            return Ok(());
        };
        let hello = expect_hello(line)?;
        info!(self.context.logger, "peer_stream_opened";
            "peer" => hello.name.as_str(), "address" => %hello.address);
        while let Some(line) = next_line(&mut lines, IDLE_TIMEOUT).await? {
            let StreamLine::Message(message) = line else {
                return Err(malformed("second hello"));
            };
            self.context.metrics.messages_received.inc();
            let from = hello.address;
            let event = ControlEvent::PeerMessageReceived { from, message };
            // Waiting here while the control thread is busy makes the sender wait in turn.
            self.context.input.deliver(event).await;
        }
        Ok(())
    }
}

async fn next_line(
    lines: &mut Lines,
    limit: Duration,
) -> Result<Option<StreamLine>, PeerCodecError> {
    match tokio::time::timeout(limit, lines.next()).await {
        Ok(Some(Ok(line))) => Ok(Some(line)),
        Ok(Some(Err(PeerCodecError::Io(_)))) | Ok(None) | Err(_) => Ok(None),
        Ok(Some(Err(error))) => Err(error),
    }
}

fn expect_hello(line: StreamLine) -> Result<PeerHello, PeerCodecError> {
    let StreamLine::Hello(hello) = line else {
        return Err(malformed("message before hello"));
    };
    if hello.protocol != PEER_PROTOCOL_VERSION {
        return Err(malformed(&format!("protocol version {}", hello.protocol)));
    }
    Ok(hello)
}

fn malformed(detail: &str) -> PeerCodecError {
    PeerCodecError::Malformed {
        detail: detail.to_owned(),
    }
}
