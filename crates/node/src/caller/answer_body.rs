//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::relay::{PassThroughBody, RelayBody, RelayFault};

/// The body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// Known as a whole.
    Whole(Full<Bytes>),
    /// A model's stream.
    Stream(Box<RelayBody>),
    /// A plain service's answer, passed on as it arrives.
    PassThrough(Box<PassThroughBody>),
}

impl AnswerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
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
            Self::Whole(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Stream(body) => Pin::new(body.as_mut()).poll_frame(context),
            Self::PassThrough(body) => Pin::new(body.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) | Self::PassThrough(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) | Self::PassThrough(_) => SizeHint::default(),
        }
    }
}
