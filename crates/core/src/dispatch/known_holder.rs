//! An engine known to cache part of a prompt.

use std::time::Duration;

use crate::placement::{CacheEpoch, EngineKey};

/// An engine whose cache is expected to contain a prefix of the prompt.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownHolder {
    pub(super) engine: EngineKey,
    /// Length in tokens of the longest cached prefix.
    pub(super) tokens: u32,
    /// Time since that prefix was last used.
    pub(super) age: Duration,
    /// Cache generation in which it was used.
    pub(super) epoch: CacheEpoch,
}
