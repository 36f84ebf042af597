//! A request that waits in the router.

use crate::identity::{RequestId, TenantName};
use crate::timestamp::Timestamp;

use crate::dispatch::Priority;

/// A request that waits in the router until an engine has room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// Who asks.
    pub tenant: TenantName,
    /// The tenant's weight against others.
    pub weight: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// Work it brings: tokens to compute.
    pub cost: u32,
    /// When it came into the queue.
    pub queued_at: Timestamp,
}
