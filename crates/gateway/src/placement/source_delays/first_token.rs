//! The first token of a request.

use std::net::SocketAddr;

/// How late the first token of a request was.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstToken {
    /// The KV store that the engine was told to fetch from, if any.
    pub store: Option<SocketAddr>,
    /// Milliseconds by which it came later than the prefill of the queued prompts and its own was
    /// expected to take; negative if it came earlier.
    pub excess_ms: f64,
}
