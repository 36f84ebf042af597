//! A request that waits in the router.

use crate::identity::{RequestId, TenantName};
use crate::timestamp::Timestamp;

use crate::dispatch::Priority;

/// A request that waits in the router until an engine has room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Weight of the tenant relative to others.
    pub weight: u32,
    /// Priority of the request.
    pub priority: Priority,
    /// Cost of the request in tokens to compute.
    pub cost: u32,
    /// When the request entered the queue.
    pub queued_at: Timestamp,
}
