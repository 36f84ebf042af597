//! A connection to an engine as the node that sends requests on it sees it.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{LocalBoxStream, unfold};
use tokio::io::{BufReader, Join, join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::FramedRead;
use tokio_util::either::Either;
use tokio_util::io::StreamReader;

use super::{Frame, FrameCodec};

type Chunks = LocalBoxStream<'static, io::Result<Bytes>>;
type TunnelStream = Join<StreamReader<Chunks, Bytes>, OwnedWriteHalf>;

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
        let chunk = match frames.next().await? {
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
