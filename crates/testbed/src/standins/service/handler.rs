//! Runs the requests of a plain service.

use std::collections::BTreeMap;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, StatusCode};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::dispatch::{NotRunReason, RunState};
use ryerouter_wire::{caller_headers, engine_headers};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::PlainServiceFaults;
use crate::standins::http::{Handler, Reply, json_text, text};

/// Runs the requests of a plain service.
#[derive(Debug)]
pub struct PlainServiceHandler {
    faults: Mutex<PlainServiceFaults>,
    random: Mutex<ChaCha8Rng>,
    executions: Mutex<BTreeMap<String, u32>>,
}

impl PlainServiceHandler {
    /// A service that ran nothing yet.
    pub fn new(seed: u64) -> Self {
        Self {
            faults: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            executions: Mutex::default(),
        }
    }

    /// Sets how it misbehaves.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        *self.faults.lock() = faults;
    }

    /// How it misbehaves.
    pub fn faults(&self) -> PlainServiceFaults {
        self.faults.lock().clone()
    }

    /// Executions by request key.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.executions.lock().clone()
    }

    /// Executions under one key.
    pub fn executions_of(&self, key: &str) -> u32 {
        self.executions.lock().get(key).copied().unwrap_or(0)
    }

    fn count(&self, key: String) {
        *self.executions.lock().entry(key).or_default() += 1;
    }
}

impl Handler for PlainServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        let faults = self.faults.lock().clone();
        let attempt = request.headers().get(engine_headers::ATTEMPT_ID).cloned();
        if faults.draining {
            return Some(echo(refusal(), attempt, &faults));
        }
        let key_header = header_text(request.headers(), caller_headers::IDEMPOTENCY_KEY);
        let target = request.uri().path_and_query().map(ToString::to_string);
        let target = target.unwrap_or_default();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let key = key_header.unwrap_or_else(|| fingerprint(&target, &body));
        self.count(key);
        tokio::time::sleep(faults.delay).await;
        let lost = self.random.lock().random_range(0..1_000) < faults.lost_answers_permille;
        if lost {
            return None;
        }
        let reply = json_text(StatusCode::OK, answer_text(&target, &body));
        Some(echo(reply, attempt, &faults))
    }
}

/// The answer to a request: it names the request, so that a crossed answer shows.
pub fn answer_text(target: &str, body: &[u8]) -> String {
    let request = fingerprint(target, body);
    json!({"path": target, "request": request}).to_string()
}

fn fingerprint(target: &str, body: &[u8]) -> String {
    let both = [target.as_bytes(), b"\n", body].concat();
    format!("{:016x}", xxh3_64(&both))
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn refusal() -> Reply {
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    let headers = reply.headers_mut();
    let state = HeaderValue::from_str(&RunState::NotRun.to_string());
    headers.insert(engine_headers::RUN_STATE, state.expect("plain text"));
    let reason = HeaderValue::from_str(&NotRunReason::Draining.to_string());
    headers.insert(engine_headers::NOT_RUN_REASON, reason.expect("plain text"));
    reply
}

fn echo(mut reply: Reply, attempt: Option<HeaderValue>, faults: &PlainServiceFaults) -> Reply {
    let attempt = if faults.wrong_attempt {
        Some(HeaderValue::from_static("0"))
    } else {
        attempt
    };
    if let Some(attempt) = attempt {
        let headers = reply.headers_mut();
        headers.insert(engine_headers::ATTEMPT_ID, attempt);
    }
    reply
}
