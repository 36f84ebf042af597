//! What is kept of an ended request to explain it.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{AttemptOutcome, Refusal};
use ryerouter_core::identity::{AttemptId, BackEndName, DataCentreName, RequestId, TenantName};
use ryerouter_core::identity::{PoolName, ZoneName};

/// What is kept of an ended request to explain how it was routed.
#[derive(Debug, Clone)]
pub struct RequestTrace {
    /// The request.
    pub request: RequestId,
    /// Who asked.
    pub tenant: TenantName,
    /// The pool.
    pub pool: PoolName,
    /// When it arrived.
    pub arrived_at: Timestamp,
    /// When it ended.
    pub ended_at: Timestamp,
    /// Tokens of its prompt (estimate).
    pub prompt_tokens: u32,
    /// Its attempts in order.
    pub attempts: Vec<AttemptTrace>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time from its arrival to its first attempt; absent when there was none.
    pub queued: Option<Duration>,
    /// Time from its arrival to its first token; absent when there was none.
    pub first_token: Option<Duration>,
    /// How it ended: completed, refused or cancelled.
    pub outcome: &'static str,
    /// Its refusal, where it ended so.
    pub refusal: Option<Refusal>,
}

/// One attempt of a request.
#[derive(Debug, Clone)]
pub struct AttemptTrace {
    /// The attempt.
    pub attempt: AttemptId,
    /// The back end.
    pub back_end: BackEndName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
    /// When it started.
    pub started_at: Timestamp,
    /// Prompt tokens that were expected in the back end's cache.
    pub expected_cached_tokens: u32,
    /// Prompt tokens that came from its cache, once told.
    pub cached_tokens: Option<u32>,
    /// Prompt tokens the back end counted, once told.
    pub prompt_tokens: Option<u32>,
    /// How it ended; absent when its caller left first.
    pub outcome: Option<AttemptOutcome>,
    /// What went wrong, where something did.
    pub detail: Option<String>,
}
