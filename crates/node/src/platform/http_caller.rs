//! HTTP calls with limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

use super::{PlatformError, PlatformLimits};

/// Idle connections kept to one server; the platform bears few of them.
const IDLE_CONNECTIONS: usize = 2;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Makes HTTP calls with limits of time and size.
///
/// Kept connections may fall silent together without being closed. So once a call had no answer in
/// time, no connection kept until then is used again: the next call does not wait in vain on
/// another of them. See `docs/incidents/silent-connections-node.md`.
#[derive(Debug, Clone)]
pub(crate) struct HttpCaller {
    client: Arc<ArcSwap<HttpClient>>,
    limits: PlatformLimits,
}

impl HttpCaller {
    pub(crate) fn new(limits: PlatformLimits) -> Self {
        let client = Arc::new(ArcSwap::from_pointee(new_client(&limits)));
        Self { client, limits }
    }

    pub(super) fn limits(&self) -> &PlatformLimits {
        &self.limits
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PlatformError> {
        let client = self.client.load_full();
        self.send_with(&client, request).await
    }

    async fn send_with(
        &self,
        client: &Arc<HttpClient>,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PlatformError> {
        let limit = self.limits.call_timeout;
        let answer = tokio::time::timeout(limit, client.request(request))
            .await
            .map_err(|_| self.timed_out(client))?;
        answer.map_err(|error| {
            let detail = describe(&error);
            if error.is_connect() {
                PlatformError::Unreachable { detail }
            } else {
                PlatformError::AnswerLost { detail }
            }
        })
    }

    /// Sends a request and reads its whole answer within the limits of time and size.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, PlatformError> {
        let limit = self.limits.call_timeout;
        let client = self.client.load_full();
        let whole = async {
            let (head, body) = self.send_with(&client, request).await?.into_parts();
            let body = Limited::new(body, self.limits.maximum_answer_bytes)
                .collect()
                .await
                .map_err(|error| PlatformError::AnswerLost {
                    detail: error.to_string(),
                })?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        tokio::time::timeout(limit, whole)
            .await
            .map_err(|_| self.timed_out(&client))?
    }

    /// Gives up the connections that are kept, unless another call has done so already. Calls under
    /// way and watches keep theirs.
    fn timed_out(&self, used: &Arc<HttpClient>) -> PlatformError {
        let fresh = Arc::new(new_client(&self.limits));
        self.client.compare_and_swap(used, fresh);
        PlatformError::TimedOut {
            limit: self.limits.call_timeout,
        }
    }
}

fn new_client(limits: &PlatformLimits) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(limits.call_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .build(connector)
}

/// A request for a path of a server.
pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, PlatformError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(body))
        .map_err(|error| PlatformError::Unaddressable {
            detail: format!("{path}: {error}"),
        })
}

/// Reads a JSON answer.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed {
        detail: error.to_string(),
    })
}

/// What the `retry-after` header of an answer asks for, in whole seconds.
pub(super) fn retry_after<B>(answer: &Response<B>) -> Option<Duration> {
    let value = answer.headers().get(hyper::header::RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// The error of a status that no call expects.
pub(super) fn unexpected_status<B>(answer: &Response<B>) -> PlatformError {
    let status = answer.status();
    match status.as_u16() {
        429 => PlatformError::TooManyReaders {
            retry_after: retry_after(answer),
        },
        410 => PlatformError::Compacted,
        404 => PlatformError::NotFound,
        code if status.is_client_error() => PlatformError::Refused { status: code },
        code => PlatformError::Failed { status: code },
    }
}

/// The error with its causes, which hyper keeps apart.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
