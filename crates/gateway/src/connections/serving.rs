//! Serving one connection.

use std::convert::Infallible;
use std::error::Error;
use std::future::pending;
use std::pin::pin;
use std::rc::Rc;

use futures_util::TryFutureExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::OpenConnection;
use super::counted_body::CountedBody;
use super::shared_stream::{SharedStream, StreamView};

/// Answers the requests of one connection until it ends, is closed to make room for another, or the
/// node leaves, which `left` tells. Then a connection without a request yet waits for the first one
/// until `accepts_no_more` resolves.
pub async fn serve_connection<A, R, B>(
    connection: OpenConnection,
    stream: TcpStream,
    server: http1::Builder,
    left: impl Future<Output = ()>,
    accepts_no_more: impl Future<Output = ()>,
    answer: A,
) where
    A: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<Response<B>, Infallible>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let connection = Rc::new(connection);
    let (stream, view) = SharedStream::new(stream, Rc::clone(&connection));
    let service = service_fn(|request| {
        let progress = connection.begin_request();
        // Not an async block: that would hold the answer's state twice, for each connection.
        let answer = answer(request);
        answer.map_ok(|response| response.map(|body| CountedBody::new(body, progress)))
    });
    let mut served = pin!(server.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // Requests that have come are begun before anything else is decided.
        biased;
        // A caller that breaks off has ended its requests itself.
        _ = served.as_mut() => return,
        () = until_to_end(&connection, left, accepts_no_more) => {}
        () = until_closed(&connection, &view) => if !connection.usage().has_served() {
            return;
        },
        () = view.closed_by_peer() => if connection.usage().has_request() {
            return;
        },
    }
    served.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = served => {}
        () = until_abandoned(&connection, &view) => {}
    }
}

/// Resolves once the node has left and no first request is awaited.
async fn until_to_end(
    connection: &OpenConnection,
    left: impl Future<Output = ()>,
    accepts_no_more: impl Future<Output = ()>,
) {
    left.await;
    // The caller chose this node before it left, and its request may be on its way.
    tokio::select! {
        () = connection.usage().until_served() => {}
        () = accepts_no_more => {}
    }
}

/// Resolves once the peer has left while a request is in progress.
///
/// The library looks for the end of a connection itself, but not while bytes wait behind the
/// request, which a caller may send before its answer; see docs/design/news-of-the-pages.md.
async fn until_abandoned(connection: &OpenConnection, view: &StreamView) {
    view.closed_by_peer().await;
    if !connection.usage().has_request() {
        // The library writes what is left of an answer, and begins no other request.
        pending::<()>().await;
    }
}

/// Resolves once the connection is to be closed and no request has come meanwhile.
async fn until_closed(connection: &OpenConnection, view: &StreamView) {
    loop {
        connection.usage().asked_to_close().await;
        if connection.usage().is_idle() && !view.has_unread() {
            return;
        }
        connection.stay_open();
    }
}
