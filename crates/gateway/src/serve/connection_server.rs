//! Serves the connections of callers.

use std::rc::Rc;

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::respond::respond;
use crate::catalogue::CallerLimits;
use crate::connections::{
    DescriptorShare, OpenConnection, OpenConnections, accept_connections, await_bytes,
    serve_connection,
};
use crate::gateway::Gateway;

/// Minimum size of the read buffer that hyper allows.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Accepts connections of callers and serves their requests until dropped, within the callers' share of file
/// descriptors.
pub async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let connections = OpenConnections::within(&gateway, DescriptorShare::Callers);
    serve_callers_with(gateway, listener, connections).await;
}

/// Like [`serve_callers`], with the given limit on open connections.
pub async fn serve_callers_with(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    connections: Rc<OpenConnections>,
) {
    let serve = move |stream, connection| {
        spawn_local(serve_caller(Rc::clone(&gateway), stream, connection));
    };
    accept_connections(connections, listener, serve).await;
}

async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream, connection: OpenConnection) {
    // An error is ignored: without this option answers are delayed but correct.
    let _ = stream.set_nodelay(true);
    if !await_bytes(&connection, &stream, until_limits_apply(&gateway)).await {
        return;
    }
    let limits = caller_limits(&gateway);
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        // A connection keeps the limits that it begins with, and these are only the built-in ones.
        .keep_alive(gateway.is_configured())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let answer = |request| respond(Rc::clone(&gateway), request);
    let left = gateway.until_leaving();
    let accepts_no_more = gateway.until_stopped_accepting();
    serve_connection(connection, stream, server, left, accepts_no_more, answer).await;
}

/// Resolves once the limits for callers are known, or no others will come.
async fn until_limits_apply(gateway: &Gateway) {
    tokio::select! {
        () = gateway.until_configured() => {}
        () = gateway.until_leaving() => {}
    }
}

fn caller_limits(gateway: &Gateway) -> CallerLimits {
    let state = gateway.state();
    let table = state.table.as_ref();
    table.map_or_else(CallerLimits::default, |table| table.limits().clone())
}
