//! Why a request was refused.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No such pool or model, or it has no back ends.
    #[display("no_such_pool")]
    NoSuchPool,
    /// No back end of the pool can take work now.
    #[display("no_back_end")]
    NoBackEnd,
    /// A limit of the tenant is reached.
    #[display("tenant_limit")]
    TenantLimit,
    /// The router's queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline passed, or certainly will.
    #[display("deadline")]
    Deadline,
    /// Every allowed attempt failed.
    #[display("attempts_exhausted")]
    AttemptsExhausted,
    /// The key was claimed before: the request ran, runs or may run elsewhere.
    #[display("already_claimed")]
    AlreadyClaimed,
    /// No majority of claim keepers answered, so running at most once cannot be assured.
    #[display("claim_unavailable")]
    ClaimUnavailable,
    /// The router is stopping.
    #[display("stopping")]
    Stopping,
    /// The back end refused the request itself.
    #[display("rejected")]
    Rejected,
}
