//! Connections of callers.

use std::pin::pin;
use std::rc::Rc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::accept_loop::accept_connections;
use super::respond::respond;
use crate::catalogue::CallerLimits;
use crate::gateway::Gateway;

/// Smallest read buffer that the library allows.
const LEAST_BUFFER_BYTES: usize = 8_192;

/// Accepts connections of callers and serves their requests, until dropped.
pub async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let shared = Rc::clone(&gateway);
    let serve = move |stream| {
        spawn_local(serve_connection(Rc::clone(&shared), stream));
    };
    accept_connections(gateway, listener, serve).await;
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    // Without it answers only come later.
    let _ = stream.set_nodelay(true);
    let limits = caller_limits(&gateway);
    let shared = Rc::clone(&gateway);
    let service = service_fn(move |request| respond(Rc::clone(&shared), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // A caller that breaks off has ended its requests itself.
        _ = connection.as_mut() => return,
        () = gateway.left() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

fn caller_limits(gateway: &Gateway) -> CallerLimits {
    let state = gateway.state();
    let table = state.table.as_ref();
    table.map_or_else(CallerLimits::default, |table| table.limits().clone())
}
