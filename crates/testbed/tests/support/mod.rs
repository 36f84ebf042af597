//! A small HTTP client for the tests of the stand-ins.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// An answer read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: hyper::HeaderMap,
    pub body: String,
}

/// Sends one request on a fresh connection; `None` when no whole answer came.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned())));
    let response = client.request(request.ok()?).await.ok()?;
    let status = response.status();
    let headers = response.headers().clone();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(Answer {
        status,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
