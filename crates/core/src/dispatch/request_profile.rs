//! What decisions need to know of a request.

use crate::identity::{PoolName, RequestId, TenantName};
use crate::prompt::PrefixChain;
use crate::timestamp::Timestamp;

use super::{Priority, Repeatability};

/// What decisions need to know of a request; its body stays with the caller of `core`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestProfile {
    /// The request.
    pub request: RequestId,
    /// Who asks.
    pub tenant: TenantName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Prefixes of its prompt; empty for plain services.
    pub prefix: PrefixChain,
    /// Tokens of its prompt (estimate).
    pub prompt_tokens: u32,
    /// Most tokens the answer may have (estimate).
    pub expected_output_tokens: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Option<Timestamp>,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// When the router received it.
    pub arrived_at: Timestamp,
}
