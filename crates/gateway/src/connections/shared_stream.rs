//! A stream that is served and looked at from beside.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::OpenConnection;

/// A stream that the library serves while its owner looks at the socket beside it.
pub(super) struct SharedStream {
    read: OwnedReadHalf,
    write: Rc<OwnedWriteHalf>,
    connection: Rc<OpenConnection>,
}

/// The look from beside.
pub(super) struct StreamView {
    stream: Rc<OwnedWriteHalf>,
}

impl SharedStream {
    pub(super) fn new(stream: TcpStream, connection: Rc<OpenConnection>) -> (Self, StreamView) {
        let (read, write) = stream.into_split();
        let write = Rc::new(write);
        let view = StreamView {
            stream: Rc::clone(&write),
        };
        let shared = Self {
            read,
            write,
            connection,
        };
        (shared, view)
    }

    fn stream(&self) -> &TcpStream {
        self.write.as_ref().as_ref()
    }

    fn poll_written(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream().poll_write_ready(context))?;
            match write(self.stream()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                outcome => return Poll::Ready(outcome),
            }
        }
    }
}

impl StreamView {
    /// Whether bytes wait that nobody has read; asked of the socket itself, since the runtime may
    /// not have heard of them yet.
    pub(super) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let stream: &TcpStream = self.stream.as_ref().as_ref();
        matches!(SockRef::from(stream).peek(&mut byte), Ok(1..))
    }

    /// Resolves once the peer has closed the connection, its sending side of it, or reset it, also
    /// while bytes wait that nobody reads. Costs nothing until then: the system tells of it once.
    pub(super) async fn closed_by_peer(&self) {
        loop {
            // The library waits for bytes, which are there; an end of the stream also counts as
            // news of this kind, bytes do not.
            match self.stream.ready(Interest::PRIORITY).await {
                Ok(ready) if !ready.is_read_closed() => {}
                // Without the socket the library will not get further either.
                Ok(_) | Err(_) => return,
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.read).poll_read(context, buffer)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is kept here, and the library flushes once it has written all that it kept.
        self.connection.note_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The task that serves it ends now, and the last handle shuts the stream down as it goes.
        Poll::Ready(Ok(()))
    }
}
