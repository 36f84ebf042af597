//! What a caller says of its request in headers.

use std::time::Duration;

use hyper::HeaderMap;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{Priority, Repeatability, RunState};
use ryerouter_core::identity::IdempotencyKey;
use ryerouter_wire::caller_headers;

use super::CallerError;
use super::request_id::{caller_id, fresh_request_id};

/// Longest deadline a caller may set: a day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// What a caller says of its request in headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallerOptions {
    pub(crate) priority: Priority,
    pub(crate) deadline: Option<Timestamp>,
    pub(crate) repeatability: Repeatability,
    /// The caller chose the key, so another request with the same one may be elsewhere.
    pub(crate) needs_claim: bool,
}

impl CallerOptions {
    /// Reads the headers. `repeatable` tells whether a request that says nothing of it may run
    /// more than once.
    pub(crate) fn parse(
        headers: &HeaderMap,
        arrived_at: Timestamp,
        repeatable: bool,
    ) -> Result<Self, CallerError> {
        let key = caller_id(headers, caller_headers::IDEMPOTENCY_KEY)?;
        let repeatable = parse_repeat(headers)?.unwrap_or(repeatable);
        let repeatability = match (repeatable, key) {
            (true, _) => Repeatability::Repeatable,
            (false, Some(key)) => Repeatability::AtMostOnce(IdempotencyKey::new(key)),
            (false, None) => Repeatability::AtMostOnce(fresh_key()),
        };
        Ok(Self {
            priority: parse_priority(headers)?,
            deadline: parse_deadline(headers, arrived_at)?,
            repeatability,
            needs_claim: !repeatable && key.is_some(),
        })
    }

    /// What can be said of a request that is refused before its key was claimed.
    ///
    /// An earlier submission of a caller's own key may have run at another node, so "not run" would
    /// not be true of such a request.
    pub(crate) fn run_state_before_claim(headers: &HeaderMap, repeatable: bool) -> RunState {
        let keyed = headers.contains_key(caller_headers::IDEMPOTENCY_KEY);
        // A mark that cannot be read may have been meant as 'never'.
        let repeat = parse_repeat(headers).unwrap_or(Some(false));
        if keyed && !repeat.unwrap_or(repeatable) {
            RunState::Unknown
        } else {
            RunState::NotRun
        }
    }

    pub(crate) fn runs_at_most_once(&self) -> bool {
        matches!(self.repeatability, Repeatability::AtMostOnce(_))
    }
}

/// A key that no other request has, so that it needs no claim.
fn fresh_key() -> IdempotencyKey {
    IdempotencyKey::new(fresh_request_id().as_str())
}

fn parse_priority(headers: &HeaderMap) -> Result<Priority, CallerError> {
    match caller_id(headers, caller_headers::PRIORITY)? {
        None | Some("interactive") => Ok(Priority::Interactive),
        Some("batch") => Ok(Priority::Batch),
        Some(other) => Err(CallerError::InvalidHeader {
            name: caller_headers::PRIORITY,
            value: other.to_owned(),
            reason: "is neither 'interactive' nor 'batch'",
        }),
    }
}

fn parse_repeat(headers: &HeaderMap) -> Result<Option<bool>, CallerError> {
    match caller_id(headers, caller_headers::REPEAT)? {
        None => Ok(None),
        Some("never") => Ok(Some(false)),
        Some("allowed") => Ok(Some(true)),
        Some(other) => Err(CallerError::InvalidHeader {
            name: caller_headers::REPEAT,
            value: other.to_owned(),
            reason: "is neither 'never' nor 'allowed'",
        }),
    }
}

fn parse_deadline(
    headers: &HeaderMap,
    arrived_at: Timestamp,
) -> Result<Option<Timestamp>, CallerError> {
    let Some(text) = caller_id(headers, caller_headers::DEADLINE_MS)? else {
        return Ok(None);
    };
    let milliseconds = text.parse().ok();
    let milliseconds = milliseconds.filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let milliseconds = milliseconds.ok_or_else(|| CallerError::InvalidHeader {
        name: caller_headers::DEADLINE_MS,
        value: text.to_owned(),
        reason: "is not a number of milliseconds from 1 to 86400000",
    })?;
    Ok(Some(arrived_at.after(Duration::from_millis(milliseconds))))
}
