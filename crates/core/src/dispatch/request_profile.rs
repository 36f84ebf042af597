//! Properties of a request that dispatch decisions use.

use crate::identity::{PoolName, RequestId, TenantName};
use crate::prompt::PrefixChain;
use crate::timestamp::Timestamp;

use super::{Priority, Repeatability};

/// Properties of a request that dispatch decisions use. The body stays with the caller of this
/// crate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestProfile {
    /// Id of the request.
    pub request: RequestId,
    /// The tenant that sent it.
    pub tenant: TenantName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Prefixes of the prompt; empty for service pools.
    pub prefix: PrefixChain,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated maximum number of tokens in the answer.
    pub expected_output_tokens: u32,
    /// Priority of the request.
    pub priority: Priority,
    /// When the caller stops waiting for the first token.
    pub deadline: Option<Timestamp>,
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// When the router received the request.
    pub arrived_at: Timestamp,
}
