//! One life of an engine's cache.

/// Numbers the lives of an engine's cache: it rises whenever an answer or report shows another
/// incarnation or another weights version than before, because the cache is empty then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct CacheEpoch(u32);

impl CacheEpoch {
    /// The next life.
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}
