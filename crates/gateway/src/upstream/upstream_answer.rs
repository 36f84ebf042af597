//! The begin of an engine's answer.

use hyper::body::Incoming;
use hyper::http::response;

use super::Connection;

/// The head of an engine's answer, with its body still to come.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// The connection that it comes on; dropping it ends the answer.
    pub connection: Connection,
    /// Whether that was a kept one.
    pub is_kept: bool,
}
