//! What answers the requests of a server.

use std::future::Future;

use hyper::Request;
use hyper::body::Incoming;

use super::Reply;

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. `None` closes the connection without an answer.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Option<Reply>> + Send;
}
