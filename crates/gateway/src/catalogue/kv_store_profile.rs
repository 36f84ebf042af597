//! The store of kept KV cache.

use std::net::SocketAddr;

use ryerouter_core::identity::ZoneName;

/// A store of kept KV cache that all engines may save to and fetch from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvStoreProfile {
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Tokens that it keeps.
    pub kv_tokens: u32,
}
