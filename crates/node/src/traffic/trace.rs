//! What is kept of an ended request to explain it.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{AttemptId, BackEndName, DataCentreName, RequestId, TenantName};
use ryerouter_core::identity::{PoolName, ZoneName};
use serde::Serialize;

/// What is kept of an ended request to explain how it was routed.
#[derive(Debug, Clone, Serialize)]
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
    /// How it ended.
    pub outcome: String,
}

/// One attempt of a request.
#[derive(Debug, Clone, Serialize)]
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
    /// How it ended; empty while it runs.
    pub outcome: String,
    /// What went wrong, where something did.
    pub detail: Option<String>,
}
