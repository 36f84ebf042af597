//! A connection to an engine as the node that sends requests on it sees it.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{LocalBoxStream, unfold};
use tokio::io::{BufReader, Join, join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::either::Either;
use tokio_util::io::StreamReader;

use super::{Frame, FrameCodec};

type Frames = FramedRead<BufReader<OwnedReadHalf>, FrameCodec>;
type Chunks = LocalBoxStream<'static, io::Result<Bytes>>;
type TunnelStream = Join<StreamReader<Chunks, Bytes>, OwnedWriteHalf>;

/// A frame that is incomplete at two checks in a row is not awaited any longer.
const FRAME_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A connection to an engine: a direct one, or a tunnel.
pub type EngineStream = Either<TcpStream, TunnelStream>;

/// Whether a tunnel was lost: the node that passes the bytes on, or the link to it, is gone. That says nothing about the
/// engine.
#[derive(Debug, Clone, Default)]
pub struct TunnelLoss(Rc<Cell<bool>>);

impl TunnelLoss {
    /// Whether the tunnel was lost.
    pub fn is_lost(&self) -> bool {
        self.0.get()
    }
}

/// Makes a stream of an open tunnel.
pub(super) fn tunnel_stream(
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
) -> (EngineStream, TunnelLoss) {
    let loss = TunnelLoss::default();
    let frames = FramedRead::new(read, FrameCodec);
    let chunks = unfold((frames, loss.clone()), |(mut frames, loss)| async move {
        let chunk = match next_frame(&mut frames).await {
            Ok(Frame::Data(bytes)) => Ok(bytes),
            Ok(Frame::End) => return None,
            Ok(Frame::Reset) => Err(io::ErrorKind::ConnectionReset.into()),
            Err(error) => {
                loss.0.set(true);
                Err(error)
            }
        };
        Some((chunk, (frames, loss)))
    });
    let stream = join(StreamReader::new(chunks.boxed_local()), write);
    (Either::Right(stream), loss)
}

/// The next frame. An error tells that the node does not pass on what an engine sends.
async fn next_frame(frames: &mut Frames) -> io::Result<Frame> {
    let mut is_late = false;
    let frame = loop {
        match timeout(FRAME_CHECK_INTERVAL, frames.next()).await {
            Ok(frame) => break frame.ok_or(io::ErrorKind::UnexpectedEof)??,
            Err(_) if frames.read_buffer().is_empty() => {}
            // Frames are small, and sent at once.
            Err(_) if is_late => return Err(io::ErrorKind::TimedOut.into()),
            Err(_) => is_late = true,
        }
    };
    // Nothing follows the end of the engine's connection.
    let is_last = !matches!(frame, Frame::Data(_));
    match is_last && !frames.read_buffer().is_empty() {
        true => Err(io::ErrorKind::InvalidData.into()),
        false => Ok(frame),
    }
}
