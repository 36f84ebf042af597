//! Calls between stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, http};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::error::Elapsed;

/// Longest time a call may take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The request cannot be written.
    #[display("request: {_0}")]
    Request(http::Error),
    /// No answer came.
    #[display("no answer: {_0}")]
    NoAnswer(legacy::Error),
    /// The answer broke off.
    #[display("answer broke off: {_0}")]
    BrokenAnswer(hyper::Error),
    /// The time was up.
    #[display("no whole answer within {TIMEOUT:?}")]
    Timeout(Elapsed),
}

/// Makes calls from one stand-in to another.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let client = legacy::Client::builder(TokioExecutor::new()).build_http();
        Self { client }
    }
}

impl HttpClient {
    /// Makes one call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// No whole answer came in time.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let uri = format!("http://{address}{path}");
        let request = Request::builder().method(method).uri(uri);
        let request = request.body(Full::new(body))?;
        tokio::time::timeout(TIMEOUT, self.exchange(request)).await?
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = self.client.request(request).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await?;
        Ok((status, body.to_bytes()))
    }
}
