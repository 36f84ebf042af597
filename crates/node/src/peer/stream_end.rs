//! The end of a stream to a peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::control::ControlEvent;
use slog::{debug, info};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::tls::ClientStream;

use super::PeerContext;

/// The end of a stream to a peer, by which the peer confirms what was written to it.
///
/// Written bytes prove nothing: a connection that has fallen silent takes them too. A peer reads a
/// stream to its end and only then ends its own side, so its end says that it has taken every
/// message.
pub(super) struct StreamEnd {
    pub(super) to: SocketAddr,
    pub(super) stream: ClientStream,
    pub(super) context: PeerContext,
    pub(super) timeout: Duration,
}

impl StreamEnd {
    /// Ends the stream; without the peer's end in time its messages are told as failed.
    pub(super) async fn run(mut self) {
        let cause = match tokio::time::timeout(self.timeout, self.end()).await {
            Ok(Ok(())) => {
                debug!(self.context.logger, "peer_stream_confirmed"; "to" => %self.to);
                return;
            }
            Ok(Err(cause)) => cause,
            Err(_) => io::ErrorKind::TimedOut.into(),
        };
        info!(self.context.logger, "peer_stream_unconfirmed"; "to" => %self.to, "cause" => %cause);
        self.context.metrics.dropped.inc();
        let event = ControlEvent::StreamFailed { to: self.to };
        self.context.input.deliver(event).await;
    }

    async fn end(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let mut unexpected = [0; 1];
        match self.stream.read(&mut unexpected).await {
            Ok(0) => Ok(()),
            Ok(_) => Err(io::ErrorKind::InvalidData.into()),
            // A peer with TLS ends its side without a farewell.
            Err(cause) if cause.kind() == io::ErrorKind::UnexpectedEof => Ok(()),
            Err(cause) => Err(cause),
        }
    }
}
