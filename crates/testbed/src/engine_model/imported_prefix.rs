//! A prefix taken from the KV store.

use ryerouter_core::prompt::BlockHash;

/// A prefix that the KV store holds and the engine imports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ImportedPrefix {
    /// The prefix; the import counts only when it is one of the request's own.
    pub prefix: BlockHash,
    /// Its tokens.
    pub tokens: u32,
}
