//! A small dialect of the tests' own.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::{request, response};
use ryerouter_core::backpressure::Signal;
use ryerouter_gateway::catalogue::RoutingTable;
use ryerouter_gateway::placement::{Prompt, PromptPart};
use ryerouter_gateway::request::{
    AnswerFacts, AttemptHead, BadRequest, CallerRequest, Dialect, UnreadableConfiguration,
};

pub const ID: &str = "x-id";
pub const KEY: &str = "x-key";
pub const PATIENCE_MS: &str = "x-patience-ms";
pub const PARTS: &str = "x-parts";
pub const SIGNED: &str = "x-signed";
pub const NOT_EXECUTED: &str = "x-not-executed";
pub const ENGINE: &str = "x-engine";
pub const TENANT: &str = "x-tenant";
pub const AFTER: &str = "x-after";
pub const RESUMES: &str = "x-resumes";
pub const LEAVING: &str = "x-leaving";
pub const LIMIT: &str = "x-limit";
pub const FRAGILE: &str = "x-fragile";
pub const SALT: &str = "x-salt";

/// The model of every prompt.
pub const MODEL: &str = "model";
/// Tokens of each part of a prompt.
pub const PART_TOKENS: u32 = 500;

#[derive(Debug, Default)]
pub struct TestDialect;

impl Dialect for TestDialect {
    /// A text that is nothing but a version, and blanks.
    fn read_configuration(&self, text: &str) -> Result<RoutingTable, UnreadableConfiguration> {
        let version = text.trim().parse().map_err(|_| UnreadableConfiguration {
            detail: format!("'{}' is not a version", text.trim()),
        })?;
        Ok(super::records::table(version, Vec::new()).with_document(text))
    }

    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, BadRequest> {
        let text = |name| text(&head.headers, name);
        let id = text(ID).ok_or_else(|| BadRequest {
            field: ID.to_owned(),
            value: String::new(),
            reason: "is missing".to_owned(),
        })?;
        let timeout = text(PATIENCE_MS).and_then(|millis| millis.parse().ok());
        Ok(CallerRequest {
            id,
            timeout: timeout.map(Duration::from_millis),
            key: text(KEY),
            prompt: text(PARTS).map(|parts| prompt(&parts)),
            last_event_id: text(AFTER),
            resumes: text(RESUMES),
        })
    }

    fn write_attempt(&self, attempt: &AttemptHead, headers: &mut HeaderMap) {
        set(headers, ENGINE, Some(attempt.engine.to_string()));
        let tenant = attempt.tenant.as_ref();
        set(headers, TENANT, tenant.map(ToString::to_string));
        set(headers, SALT, attempt.salt.clone());
        set(headers, AFTER, attempt.last_event_id.clone());
        headers.remove(KEY);
    }

    fn read_answer(&self, head: &response::Parts) -> AnswerFacts {
        AnswerFacts {
            request_id: text(&head.headers, ID),
            is_not_executed: head.headers.contains_key(NOT_EXECUTED),
            has_server_stamp: head.headers.contains_key(SIGNED),
            weights: None,
            idle_timeout: None,
            signal: signal(head),
            invalid_fields: Vec::new(),
        }
    }

    fn write_refusal(&self, request_id: Option<&str>, headers: &mut HeaderMap) {
        set(headers, ID, request_id.map(str::to_owned));
    }
}

fn signal(head: &response::Parts) -> Signal {
    let number = |name| text(&head.headers, name).and_then(|text| text.parse::<f64>().ok());
    Signal {
        is_leaving: head.headers.contains_key(LEAVING),
        backoff: number(RETRY_AFTER.as_str()).map(Duration::from_secs_f64),
        rate_limit: number(LIMIT),
        max_refusals: number(FRAGILE).map(|count| count as u32),
    }
}

/// A prompt of parts that are named with commas between them.
pub fn prompt(parts: &str) -> Prompt {
    let parts: Vec<_> = parts
        .split(',')
        .map(|id| PromptPart {
            id: id.to_owned(),
            tokens: PART_TOKENS,
        })
        .collect();
    Prompt {
        model: MODEL.to_owned(),
        prompt_tokens: PART_TOKENS * parts.len() as u32,
        parts,
        output_tokens: 10,
        expected_tokens: None,
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn set(headers: &mut HeaderMap, name: &'static str, value: Option<String>) {
    let name = HeaderName::from_static(name);
    match value {
        Some(value) => {
            headers.insert(name, HeaderValue::from_str(&value).expect("header value"));
        }
        None => {
            headers.remove(name);
        }
    }
}
