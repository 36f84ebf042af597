//! Import of KV cache from the KV store.

use std::net::SocketAddr;

use crate::prompt::BlockHash;

/// Asks the engine to import a prefix from the KV store instead of recomputing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvImport {
    /// The KV store.
    pub store: SocketAddr,
    /// The prefix to import.
    pub prefix: BlockHash,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}
