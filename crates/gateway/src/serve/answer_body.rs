//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::relay::RelayFault;

/// The body of an answer to a caller.
pub enum AnswerBody {
    /// A complete body.
    Whole(Full<Bytes>),
    /// Events that are forwarded as they arrive.
    Stream(LocalBoxStream<'static, Result<Bytes, RelayFault>>),
}

impl AnswerBody {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayFault>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Stream(stream) => stream
                .as_mut()
                .poll_next(context)
                .map(|next| next.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
