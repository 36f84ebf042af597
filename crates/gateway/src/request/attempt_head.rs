//! Header fields that are added to a request to an engine.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, TenantName};

/// Fields that are added to the head of a request to an engine, in addition to the caller's headers.
#[derive(Debug, Clone)]
pub struct AttemptHead {
    /// The engine process that is to answer; any other must refuse.
    pub engine: BackEndName,
    /// Time that remains until the request's deadline.
    pub remaining: Duration,
    /// The tenant of the request.
    pub tenant: Option<TenantName>,
    /// Salt of the prefix cache, which keeps cached prefixes of tenants apart.
    pub salt: Option<String>,
    /// Version of the weights that the engine must have.
    pub weights: Option<u64>,
    /// Engine or store to fetch KV cache from.
    pub fetch_from: Option<SocketAddr>,
    /// Store to save KV cache to.
    pub save_to: Option<SocketAddr>,
    /// Priority, 0 being the most urgent.
    pub priority: Option<u8>,
    /// Id of the last event that the caller has received; the engine continues after it.
    pub last_event_id: Option<String>,
}
