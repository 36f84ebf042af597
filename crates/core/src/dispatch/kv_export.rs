//! Export of KV cache.

use std::net::SocketAddr;

use crate::prompt::BlockHash;

/// Asks the engine to keep the KV cache of a prefix in the KV store after prefill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvExport {
    /// The KV store.
    pub store: SocketAddr,
    /// The prefix to keep.
    pub prefix: BlockHash,
    /// Its tokens.
    pub tokens: u32,
}
