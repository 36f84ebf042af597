//! Connections of callers.

use std::rc::Rc;

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::respond::respond;
use crate::catalogue::CallerLimits;
use crate::connections::{
    DescriptorShare, OpenConnection, OpenConnections, accept_connections, serve_connection,
};
use crate::gateway::Gateway;

/// Smallest read buffer that the library allows.
const LEAST_BUFFER_BYTES: usize = 8_192;

/// Accepts connections of callers and serves their requests, until dropped.
pub async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let connections = OpenConnections::within(&gateway, DescriptorShare::Callers);
    serve_callers_on(gateway, listener, connections).await;
}

/// The same with another bound on how many there may be.
pub async fn serve_callers_on(
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
    // Without it answers only come later.
    let _ = stream.set_nodelay(true);
    let limits = caller_limits(&gateway);
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER_BYTES));
    let answer = |request| respond(Rc::clone(&gateway), request);
    serve_connection(connection, stream, server, gateway.until_leaving(), answer).await;
}

fn caller_limits(gateway: &Gateway) -> CallerLimits {
    let state = gateway.state();
    let table = state.table.as_ref();
    table.map_or_else(CallerLimits::default, |table| table.limits().clone())
}
