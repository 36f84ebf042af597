//! A claim on an idempotency key.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{IdempotencyKey, RequestId, TenantName};

/// A claim on the idempotency key of one request of one tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The tenant; keys of different tenants are different keys.
    pub tenant: TenantName,
    /// The key as its caller wrote it.
    pub key: IdempotencyKey,
    /// The request that wants it.
    pub request: RequestId,
    /// When the router received the request.
    pub arrived_at: Timestamp,
    /// When the caller stops waiting.
    pub deadline: Option<Timestamp>,
}
