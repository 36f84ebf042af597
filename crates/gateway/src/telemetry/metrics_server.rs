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
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::Metrics;

/// Serves metrics as text below `path`, until dropped.
pub async fn serve_metrics(listener: TcpListener, path: Rc<str>, metrics: Rc<Metrics>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let (path, metrics) = (Rc::clone(&path), Rc::clone(&metrics));
        spawn_local(async move {
            let answer = service_fn(move |request| {
                let answer = answer(&request, &path, &metrics);
                async move { Ok::<_, Infallible>(answer) }
            });
            // A reader that breaks off misses its figures; nothing else is affected.
            let _ = http1::Builder::new()
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), answer)
                .await;
        });
    }
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
