//! An engine that holds a prefix.

use super::{CacheEpoch, EngineKey};
use crate::timestamp::Timestamp;

/// An engine that was sent a prefix, so its cache held the prefix then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineKey,
    /// Epoch of the cache that received the prefix. The entry is invalid in any other epoch.
    pub epoch: CacheEpoch,
    /// When the prefix was last used there.
    pub used_at: Timestamp,
}
