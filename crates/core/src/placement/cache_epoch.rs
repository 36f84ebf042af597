//! Epoch of an engine's cache.

/// Counts the generations of an engine's cache. It increases whenever a response or report shows
/// another incarnation or weights version than before, because the cache is empty then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct CacheEpoch(u32);

impl CacheEpoch {
    /// The epoch after this one.
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}
