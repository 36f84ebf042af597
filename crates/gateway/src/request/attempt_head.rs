//! What an engine is told.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, TenantName};

/// What the head of an attempt tells an engine, on top of what the caller sent.
#[derive(Debug, Clone)]
pub struct AttemptHead {
    /// The engine process that must answer.
    pub engine: BackEndName,
    /// Time that remains.
    pub remaining: Duration,
    /// Who asks.
    pub tenant: Option<TenantName>,
    /// Separates cached prefixes.
    pub salt: Option<String>,
    /// Weights that the engine must have.
    pub weights: Option<u64>,
    /// Engine or store to fetch KV cache from.
    pub fetch_from: Option<SocketAddr>,
    /// Store to save KV cache to.
    pub save_to: Option<SocketAddr>,
    /// Urgency, 0 first.
    pub priority: Option<u8>,
    /// The last event that the caller has; the engine goes on after it.
    pub last_event_id: Option<String>,
}
