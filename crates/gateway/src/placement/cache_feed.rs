//! Cache changes that engines report.

use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::BackEndName;

use super::PartKey;

/// Position in an engine's change log from which the next poll continues.
pub type Cursor = u64;

/// A prompt part that an engine has added to its cache or evicted from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// The part.
    pub key: PartKey,
    /// Number of its tokens that are cached now.
    pub tokens: u32,
    /// Whether the whole part is cached.
    pub is_held: bool,
}

/// Changes of an engine's cache since an earlier poll, in the order in which they happened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Position from which the next poll continues.
    pub next: Cursor,
    /// The changes. The list may be incomplete: some changes are never reported.
    pub changes: Vec<CacheChange>,
    /// Whether the changes are the whole content instead: the engine does not keep all changes since the earlier poll.
    pub is_content: bool,
}

/// Client that polls engines for changes of their caches.
pub trait CacheFeed {
    /// Fetches the changes since `since`, or all changes that the engine still keeps if `since` is
    /// `None`. Waits a while for the first change; returns `None` if the engine does not answer.
    fn changes(
        &self,
        engine: BackEndName,
        address: SocketAddr,
        since: Option<Cursor>,
    ) -> LocalBoxFuture<'_, Option<CacheChanges>>;
}
