//! The body of an answer.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Incoming};

use super::{ConnectionPool, EngineConnection};

/// The body of an answer, together with the connection it arrives on.
///
/// Invariant: the connection goes back to the pool only after the end of the body was read;
/// otherwise it is closed when this is dropped.
pub(crate) struct EngineBody {
    incoming: Incoming,
    connection: Option<EngineConnection>,
    pool: Arc<ConnectionPool>,
}

impl EngineBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: EngineConnection,
        pool: Arc<ConnectionPool>,
    ) -> Self {
        Self {
            incoming,
            connection: Some(connection),
            pool,
        }
    }

    /// The next piece of the body; `None` at its end.
    pub(crate) fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        loop {
            match self.poll_arrived(context) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Poll::Ready(Some(Ok(data))),
                    // Trailers carry nothing the protocol knows.
                    Err(_) => continue,
                },
                Poll::Ready(Some(Err(error))) => {
                    self.connection = None;
                    return Poll::Ready(Some(Err(error)));
                }
                Poll::Ready(None) => {
                    self.recycle();
                    return Poll::Ready(None);
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn poll_arrived(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>> {
        if let Poll::Ready(arrived) = Pin::new(&mut self.incoming).poll_frame(context) {
            return Poll::Ready(arrived);
        }
        if let Some(connection) = &mut self.connection {
            connection.drive(context);
        }
        Pin::new(&mut self.incoming).poll_frame(context)
    }

    fn recycle(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }
}

impl Body for EngineBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>> {
        let data = self.get_mut().poll_data(context);
        data.map(|data| data.map(|data| data.map(hyper::body::Frame::data)))
    }
}
