//! An engine that holds a prefix.

use super::{CacheEpoch, EngineKey};
use crate::timestamp::Timestamp;

/// An engine that was given a prefix, so that its cache held it then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineKey,
    /// The life of the cache that was given it; the entry means nothing for any other.
    pub epoch: CacheEpoch,
    /// When the prefix was last used there.
    pub used_at: Timestamp,
}
