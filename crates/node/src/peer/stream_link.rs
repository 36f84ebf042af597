//! A stream to one peer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use rand::Rng;
use ryerouter_core::control::{ControlEvent, PeerMessage};
use ryerouter_wire::peer::{JsonLineCodec, PeerCodecError, StreamLine};
use slog::{debug, info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Encoder;

use crate::tls::ClientStream;

use super::{PeerContext, StreamEnd, StreamLimits};

/// Longest wait for a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time one message may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence after which a stream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after the first failed connection; doubles with each further one.
const FIRST_BACK_OFF: Duration = Duration::from_millis(100);
/// Longest pause between failed connections.
const LONGEST_BACK_OFF: Duration = Duration::from_secs(5);

/// What is to be done next with a stream.
enum LinkStep {
    /// Write a message.
    Write(Box<PeerMessage>),
    /// Have the peer confirm what was written.
    Confirm,
    /// Nothing, ever.
    Finish,
}

/// A stream to one peer. Lives while there is something to say.
///
/// The peer writes nothing to it, so a connection that has fallen silent looks like a healthy one.
/// Some time after its first message a stream is therefore ended, by which the peer confirms what
/// it has taken ([`StreamEnd`]); where the stream is in use, another one is opened first. See
/// `docs/incidents/silent-connections-node.md`.
pub(super) struct StreamLink {
    pub(super) to: SocketAddr,
    pub(super) queue: mpsc::Receiver<PeerMessage>,
    pub(super) context: PeerContext,
    pub(super) limits: StreamLimits,
}

impl StreamLink {
    /// Writes messages until there is nothing to say for a while.
    pub(super) async fn run(mut self) {
        let mut back_off = FIRST_BACK_OFF;
        while let Some(message) = self.next_message().await {
            match self.open().await {
                Ok(stream) => {
                    back_off = FIRST_BACK_OFF;
                    let Err(cause) = self.write_messages(stream, message).await else {
                        continue;
                    };
                    info!(self.context.logger, "peer_stream_broken"; "to" => %self.to, "cause" => %cause);
                    self.fail().await;
                }
                Err(cause) => {
                    debug!(self.context.logger, "peer_unreachable"; "to" => %self.to, "cause" => %cause);
                    self.fail().await;
                    self.refuse_for(back_off).await;
                    back_off = (back_off * 2).min(LONGEST_BACK_OFF);
                }
            }
        }
    }

    /// The next message; `None` after a long silence, when no message can come any more.
    async fn next_message(&mut self) -> Option<PeerMessage> {
        match tokio::time::timeout(IDLE_TIMEOUT, self.queue.recv()).await {
            Ok(message) => message,
            Err(_) => {
                // Messages queued before the close are still delivered.
                self.queue.close();
                self.queue.recv().await
            }
        }
    }

    async fn open(&self) -> Result<ClientStream, PeerCodecError> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.to)).await;
        let stream = connected.map_err(|_| timed_out())??;
        stream.set_nodelay(true)?;
        let mut stream = self.handshake(stream).await?;
        let hello = StreamLine::Hello(self.context.hello.clone());
        self.write(&mut stream, &hello).await?;
        Ok(stream)
    }

    async fn handshake(&self, stream: TcpStream) -> Result<ClientStream, PeerCodecError> {
        let Some(tls) = &self.context.tls else {
            return Ok(ClientStream::Plain(stream));
        };
        let connected = tls.client.connect(stream).await;
        Ok(connected.inspect_err(|cause| {
            self.context.metrics.handshakes_failed.inc();
            let logger = &self.context.logger;
            warn!(logger, "peer_handshake_failed"; "to" => %self.to, "cause" => %cause);
        })?)
    }

    /// Writes messages to an open stream; ends well when there is nothing more to say for now.
    async fn write_messages(
        &mut self,
        mut stream: ClientStream,
        first: PeerMessage,
    ) -> Result<(), PeerCodecError> {
        let mut message = first;
        let mut confirm_at = None;
        loop {
            self.write(&mut stream, &StreamLine::Message(message))
                .await?;
            self.context.metrics.messages_sent.inc();
            let written_at = Instant::now();
            confirm_at.get_or_insert(written_at + self.limits.confirm_after);
            message = loop {
                match self.wait(&mut stream, confirm_at).await? {
                    LinkStep::Write(message) => break *message,
                    LinkStep::Confirm if self.is_in_use(written_at) => {
                        let next = self.open().await?;
                        self.end(std::mem::replace(&mut stream, next));
                        confirm_at = None;
                    }
                    LinkStep::Confirm => {
                        self.end(stream);
                        return Ok(());
                    }
                    LinkStep::Finish => {
                        if confirm_at.is_some() {
                            self.end(stream);
                        }
                        return Ok(());
                    }
                }
            };
        }
    }

    /// Waits for what is to be done next with a stream.
    async fn wait(
        &mut self,
        stream: &mut ClientStream,
        confirm_at: Option<Instant>,
    ) -> Result<LinkStep, PeerCodecError> {
        let mut unexpected = [0; 1];
        tokio::select! {
            next = self.next_message() => Ok(match next {
                Some(message) => LinkStep::Write(Box::new(message)),
                None => LinkStep::Finish,
            }),
            // The peer never writes here, so anything readable is the end of the stream.
            _ = stream.read(&mut unexpected) => Err(closed()),
            () = until(confirm_at) => Ok(LinkStep::Confirm),
        }
    }

    /// Whether the next message is likely to come soon, so that it should not wait for a connection.
    fn is_in_use(&self, written_at: Instant) -> bool {
        written_at.elapsed() < self.limits.confirm_after / 2
    }

    /// Ends a stream in the background.
    fn end(&self, stream: ClientStream) {
        let end = StreamEnd {
            to: self.to,
            stream,
            context: self.context.clone(),
            timeout: self.limits.confirm_timeout,
        };
        tokio::spawn(end.run());
    }

    async fn write(
        &self,
        stream: &mut ClientStream,
        line: &StreamLine,
    ) -> Result<(), PeerCodecError> {
        let mut buffer = BytesMut::new();
        JsonLineCodec::default().encode(line, &mut buffer)?;
        let written = tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&buffer)).await;
        written.map_err(|_| timed_out())??;
        stream.flush().await?;
        self.context.metrics.bytes_sent.inc_by(buffer.len() as u64);
        Ok(())
    }

    /// Refuses messages while the peer is left alone. A random part keeps the processes that lost
    /// the same peer from coming back together.
    async fn refuse_for(&mut self, pause: Duration) {
        let jitter = rand::rng().random_range(0.5..1.0);
        let until = Instant::now() + pause.mul_f64(jitter);
        while let Ok(Some(_)) = tokio::time::timeout_at(until, self.queue.recv()).await {
            self.fail().await;
        }
    }

    async fn fail(&self) {
        self.context.metrics.dropped.inc();
        let event = ControlEvent::StreamFailed { to: self.to };
        self.context.input.deliver(event).await;
    }
}

async fn until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

fn timed_out() -> PeerCodecError {
    std::io::Error::from(std::io::ErrorKind::TimedOut).into()
}

fn closed() -> PeerCodecError {
    std::io::Error::from(std::io::ErrorKind::ConnectionAborted).into()
}
