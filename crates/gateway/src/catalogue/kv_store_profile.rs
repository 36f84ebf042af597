//! The store of kept KV cache.

use std::net::SocketAddr;

use ryerouter_core::identity::ZoneName;
use xxhash_rust::xxh3::xxh3_64;

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

impl KvStoreProfile {
    /// Hash of its address, for orders of stores that are the same on every node.
    pub fn hash(&self) -> u64 {
        xxh3_64(self.address.to_string().as_bytes())
    }
}
