//! Export of KV cache to the KV store.

use std::net::SocketAddr;

use crate::prompt::BlockHash;

/// Asks the engine to write the KV cache of a prefix to the KV store after prefill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvExport {
    /// The KV store.
    pub store: SocketAddr,
    /// The prefix to export.
    pub prefix: BlockHash,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}
