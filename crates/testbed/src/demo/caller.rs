//! Sends calls and reads their answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::http::request::Builder;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use ryerouter_core::dispatch::{Priority, RunState};
use ryerouter_wire::caller_headers;
use serde_json::Value;
use tokio::time::{Instant, timeout};

use super::stream_text::StreamText;
use super::whole_text::{check_text, wrong};
use super::{Call, CallEnd, CallRecord, CallWork};
use crate::cluster::tenant_key;
use crate::standins::service::PlainService;

/// When a refused caller may come back, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";
/// Longest time a call may take.
const LONGEST_CALL: Duration = Duration::from_secs(120);

/// Sends calls and reads their answers.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// How an answer's body ended and when its first token came.
struct ReadAnswer {
    end: CallEnd,
    first_token: Option<Instant>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            // A request whose connection closes may have run; the demonstration must see that.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl Caller {
    /// Sends a call to a node and reads its answer to the end.
    pub async fn send(&self, call: Call, node: SocketAddr) -> CallRecord {
        let sent = Instant::now();
        let read = timeout(LONGEST_CALL, self.exchange(&call, node)).await;
        let read = read.unwrap_or_else(|_| broken("no whole answer in time"));
        CallRecord {
            call,
            submission: 1,
            end: read.end,
            sent,
            ended: Instant::now(),
            first_token: read.first_token.map(|at| at.duration_since(sent)),
        }
    }

    async fn exchange(&self, call: &Call, node: SocketAddr) -> ReadAnswer {
        let answer = match self.client.request(request(call, node)).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return ended(CallEnd::NotConnected),
            Err(error) => return broken(format!("no answer: {error:?}")),
        };
        if let Some(end) = refusal(answer.status(), answer.headers()) {
            let _ = answer.into_body().collect().await;
            return ended(end);
        }
        let echoed = answer.headers().get(caller_headers::REQUEST_ID);
        if echoed.and_then(|id| id.to_str().ok()) != Some(call.id.as_str()) {
            return ended(wrong(format!("answer to another request: {echoed:?}")));
        }
        match &call.work {
            CallWork::Model { stream: true, .. } => read_stream(&call.work, answer).await,
            CallWork::Model { .. } => read_whole(&call.work, answer).await,
            CallWork::Service { target, .. } => read_service(target, &call.body, answer).await,
        }
    }
}

fn request(call: &Call, node: SocketAddr) -> Request<Full<Bytes>> {
    let key = tenant_key(&call.tenant);
    let mut builder = Request::post(format!("http://{node}{}", call.path))
        .header(AUTHORIZATION, format!("Bearer {key}"))
        .header(CONTENT_TYPE, "application/json")
        .header(caller_headers::REQUEST_ID, &call.id)
        .header(caller_headers::PRIORITY, priority_name(call.priority));
    if let Some(deadline) = call.deadline {
        let millis = deadline.as_millis().to_string();
        builder = builder.header(caller_headers::DEADLINE_MS, millis);
    }
    builder = repeat_headers(builder, call);
    let body = Full::new(call.body.clone());
    builder
        .body(body)
        .expect("a call has a valid address and headers")
}

fn repeat_headers(builder: Builder, call: &Call) -> Builder {
    match (&call.at_most_once_key, &call.work) {
        (Some(key), _) => builder
            .header(caller_headers::REPEAT, "never")
            .header(caller_headers::IDEMPOTENCY_KEY, key),
        (None, CallWork::Service { counted_as, .. }) => builder
            .header(caller_headers::REPEAT, "allowed")
            .header(caller_headers::IDEMPOTENCY_KEY, counted_as),
        (None, CallWork::Model { .. }) => builder,
    }
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    }
}

/// The refusal an answer's head tells of, if it is one.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<CallEnd> {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let reason = header(caller_headers::REFUSAL_REASON);
    let reason = reason.unwrap_or("none given");
    let Some(run_state) = header(caller_headers::RUN_STATE) else {
        return (status != StatusCode::OK).then(|| wrong(format!("status {status}")));
    };
    Some(CallEnd::Refused {
        run_state: parse_run_state(run_state),
        reason: reason.to_owned(),
        retry_after: header(RETRY_AFTER_MS).and_then(parse_millis),
    })
}

fn parse_millis(text: &str) -> Option<Duration> {
    text.parse().ok().map(Duration::from_millis)
}

/// What is not understood is not known.
fn parse_run_state(text: &str) -> RunState {
    let states = [RunState::NotRun, RunState::Ran];
    let known = states.into_iter().find(|state| state.to_string() == text);
    known.unwrap_or(RunState::Unknown)
}

async fn read_stream(work: &CallWork, answer: Response<Incoming>) -> ReadAnswer {
    let mut body = answer.into_body();
    let mut stream = StreamText::default();
    let mut first_token = None;
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return broken(format!("stream broke off: {error:?}")),
        };
        if let Some(data) = frame.data_ref() {
            stream.push(data);
        }
        if first_token.is_none() && !stream.text.is_empty() {
            first_token = Some(Instant::now());
        }
    }
    ReadAnswer {
        end: stream_end(work, &stream),
        first_token,
    }
}

fn stream_end(work: &CallWork, stream: &StreamText) -> CallEnd {
    if let Some(error) = &stream.error {
        let reason = error["code"].as_str().unwrap_or("none given");
        return CallEnd::Refused {
            run_state: RunState::Unknown,
            reason: format!("within the stream: {reason}"),
            retry_after: None,
        };
    }
    if let Some(fault) = &stream.fault {
        return wrong(fault.clone());
    }
    if !stream.is_done || stream.has_rest() {
        return CallEnd::Broken {
            reason: "stream ended without its end mark".to_owned(),
        };
    }
    if !stream.has_usage {
        return wrong("no usage counts");
    }
    check_text(work, &stream.text, &stream.fingerprints)
}

async fn read_whole(work: &CallWork, answer: Response<Incoming>) -> ReadAnswer {
    let body = match answer.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return broken(format!("answer broke off: {error:?}")),
    };
    let arrived = Instant::now();
    let Ok(answer) = serde_json::from_slice::<Value>(&body) else {
        return ended(wrong("answer is not JSON"));
    };
    let choice = &answer["choices"][0];
    let text = choice["message"]["content"].as_str();
    let text = text.or_else(|| choice["text"].as_str()).unwrap_or_default();
    let fingerprint = answer["system_fingerprint"].as_str().unwrap_or_default();
    ReadAnswer {
        end: check_text(work, text, &[fingerprint.to_owned()]),
        first_token: Some(arrived),
    }
}

async fn read_service(target: &str, sent: &Bytes, answer: Response<Incoming>) -> ReadAnswer {
    let body = match answer.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return broken(format!("answer broke off: {error:?}")),
    };
    let expected = PlainService::expected_answer(target, sent);
    if body == expected.as_bytes() {
        return ended(CallEnd::Right {
            weights_version: None,
        });
    }
    let found = String::from_utf8_lossy(&body);
    ended(wrong(format!("{found} in place of {expected}")))
}

fn ended(end: CallEnd) -> ReadAnswer {
    ReadAnswer {
        end,
        first_token: None,
    }
}

fn broken(reason: impl Into<String>) -> ReadAnswer {
    ended(CallEnd::Broken {
        reason: reason.into(),
    })
}
