//! Body of an answer, as long as its request is in progress.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::request_in_progress::RequestInProgress;

/// Body of an answer; the request is in progress until it is dropped.
pub(super) struct CountedBody<B> {
    body: B,
    _request: RequestInProgress,
}

impl<B> CountedBody<B> {
    pub(super) fn new(body: B, request: RequestInProgress) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for CountedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
