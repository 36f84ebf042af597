//! What engines tell of their caches.

use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::BackEndName;

use super::PartKey;

/// Where the next question to an engine goes on.
pub type Cursor = u64;

/// A part of a prompt that an engine has come to hold, or has dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// The part.
    pub key: PartKey,
    /// Its tokens that are held now.
    pub tokens: u32,
    /// Whether all of it is held.
    pub is_held: bool,
}

/// Changes of an engine's cache since an earlier question, in the order in which they came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Where the next question goes on.
    pub next: Cursor,
    /// The changes; some never arrive.
    pub changes: Vec<CacheChange>,
}

/// The port to what engines tell of their caches.
pub trait CacheFeed {
    /// Changes since `since`, or all that the engine remembers. Waits a while for the first one;
    /// `None` when the engine does not answer.
    fn changes(
        &self,
        engine: BackEndName,
        address: SocketAddr,
        since: Option<Cursor>,
    ) -> LocalBoxFuture<'_, Option<CacheChanges>>;
}
