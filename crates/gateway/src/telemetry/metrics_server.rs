//! Serving metrics.

use std::future::{pending, ready};
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::Metrics;
use crate::connections::{
    DescriptorShare, OpenConnections, accept_connections, question_server, serve_connection,
};
use crate::gateway::Gateway;

/// Serves metrics as text below `path`, until dropped.
pub async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener, path: Rc<str>) {
    let connections = OpenConnections::within(&gateway, DescriptorShare::Questions);
    let serve = move |stream, connection| {
        let (gateway, path) = (Rc::clone(&gateway), Rc::clone(&path));
        spawn_local(async move {
            let answer = |request| ready(Ok(answer(&request, &path, gateway.metrics())));
            let mut server = question_server();
            server.keep_alive(false);
            serve_connection(connection, stream, server, pending(), pending(), answer).await;
        });
    };
    accept_connections(connections, listener, serve).await;
}

fn answer<B>(request: &Request<B>, path: &str, metrics: &Metrics) -> Response<Full<Bytes>> {
    if request.uri().path() != path {
        let mut missing = Response::new(Full::default());
        *missing.status_mut() = StatusCode::NOT_FOUND;
        return missing;
    }
    let mut response = Response::new(Full::from(metrics.render()));
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}
