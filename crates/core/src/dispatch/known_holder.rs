//! An engine known to hold part of a prompt.

use std::time::Duration;

use crate::placement::{CacheEpoch, EngineKey};

/// An engine whose cache is expected to hold the beginning of a prompt.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownHolder {
    pub(super) engine: EngineKey,
    /// Tokens of the longest prefix it holds.
    pub(super) tokens: u32,
    /// How long ago that was used, and in which life of the cache.
    pub(super) age: Duration,
    pub(super) epoch: CacheEpoch,
}
