//! What is kept of an ended request to explain how it was routed.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::Refusal;
use ryerouter_core::identity::PoolName;
use ryerouter_core::identity::{RequestId, TenantName};

use super::AttemptTrace;

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
