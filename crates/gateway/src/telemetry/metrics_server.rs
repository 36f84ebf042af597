//! Serving metrics.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::Metrics;
use crate::gateway::Gateway;
use crate::serve::accept_connections;

/// Serves metrics as text below `path`, until dropped.
pub async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener, path: Rc<str>) {
    let metrics = Rc::clone(gateway.metrics());
    let serve = move |stream| {
        let (path, metrics) = (Rc::clone(&path), Rc::clone(&metrics));
        spawn_local(serve_connection(stream, path, metrics));
    };
    accept_connections(gateway, listener, serve).await;
}

async fn serve_connection(stream: TcpStream, path: Rc<str>, metrics: Rc<Metrics>) {
    let answer = service_fn(move |request| {
        let answer = answer(&request, &path, &metrics);
        async move { Ok::<_, Infallible>(answer) }
    });
    // A reader that breaks off misses its figures; nothing else is affected.
    let _ = http1::Builder::new()
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), answer)
        .await;
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
