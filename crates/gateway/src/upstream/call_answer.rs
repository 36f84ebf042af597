//! The whole answer to a short call.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;

/// The whole answer to a short call.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its header fields.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}
