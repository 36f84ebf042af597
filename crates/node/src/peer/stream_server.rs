//! Streams that peers open.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use ryerouter_core::control::ControlEvent;
use ryerouter_wire::peer::{
    JsonLineCodec, PEER_PROTOCOL_VERSION, PeerCodecError, PeerHello, StreamLine,
};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::FramedRead;

use crate::control::ControlInput;

use super::PeerMetrics;

/// Most streams of peers at once.
const MAXIMUM_STREAMS: usize = 2_048;
/// Longest wait for the first line of a stream.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest silence of a stream; its opener closes it much earlier when it has nothing to say.
const IDLE_TIMEOUT: Duration = Duration::from_secs(180);
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Takes the streams that peers open and passes their messages on.
#[derive(Clone)]
pub struct StreamServer {
    input: ControlInput,
    metrics: PeerMetrics,
    logger: Logger,
    permits: Arc<Semaphore>,
}

type Lines = FramedRead<TcpStream, JsonLineCodec<StreamLine>>;

impl StreamServer {
    /// Starts to accept.
    pub(crate) fn start(
        listener: TcpListener,
        input: ControlInput,
        metrics: PeerMetrics,
        logger: Logger,
    ) {
        let server = Self {
            input,
            metrics,
            logger,
            permits: Arc::new(Semaphore::new(MAXIMUM_STREAMS)),
        };
        tokio::spawn(server.accept(listener));
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(cause) => {
                    warn!(self.logger, "peer_accept_failed"; "cause" => %cause);
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            self.metrics.streams_refused.inc();
            return;
        };
        let server = self.clone();
        tokio::spawn(async move {
            let from = stream.peer_addr().ok();
            if let Err(cause) = server.serve(stream).await {
                server.metrics.malformed.inc();
                warn!(server.logger, "peer_stream_closed"; "from" => ?from, "cause" => %cause);
            }
            drop(permit);
        });
    }

    /// Passes messages on until the stream ends; a stream that breaks off or falls silent has
    /// ended, a line that is no message is an error.
    async fn serve(&self, stream: TcpStream) -> Result<(), PeerCodecError> {
        let mut lines = Lines::new(stream, JsonLineCodec::default());
        let Some(line) = next_line(&mut lines, HELLO_TIMEOUT).await? else {
            return Ok(());
        };
        let hello = expect_hello(line)?;
        info!(self.logger, "peer_stream_opened";
            "peer" => hello.name.as_str(), "address" => %hello.address);
        while let Some(line) = next_line(&mut lines, IDLE_TIMEOUT).await? {
            let StreamLine::Message(message) = line else {
                return Err(malformed("second hello"));
            };
            self.metrics.messages_received.inc();
            let from = hello.address;
            let event = ControlEvent::PeerMessageReceived { from, message };
            // Waiting here while the control thread is busy makes the sender wait in turn.
            self.input.deliver(event).await;
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
