//! A back end's refusal of the request itself.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderValue;

/// A back end's refusal of the request itself, passed on to the caller.
#[derive(Debug)]
pub(crate) struct RejectedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) body: Bytes,
}
