//! Why a request was refused.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The pool or model does not exist or has no back ends.
    #[display("no_such_pool")]
    NoSuchPool,
    /// No back end of the pool can accept work now.
    #[display("no_back_end")]
    NoBackEnd,
    /// A limit of the tenant is reached.
    #[display("tenant_limit")]
    TenantLimit,
    /// The router's queue is full, or the request waited in it for the maximum time.
    #[display("queue_full")]
    QueueFull,
    /// The deadline has passed, or cannot be met.
    #[display("deadline")]
    Deadline,
    /// No further attempt is allowed after a failed one.
    #[display("attempts_exhausted")]
    AttemptsExhausted,
    /// The idempotency key is already claimed: a request with it ran, runs or may run elsewhere.
    #[display("already_claimed")]
    AlreadyClaimed,
    /// No majority of claim keepers granted the claim, so at-most-once execution cannot be
    /// guaranteed.
    #[display("claim_unavailable")]
    ClaimUnavailable,
    /// The router is shutting down.
    #[display("stopping")]
    Stopping,
    /// The request is invalid: a back end rejected it, or its id is already in use.
    #[display("rejected")]
    Rejected,
}
