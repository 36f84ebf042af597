//! How much of the stored crash histories a node has read.

/// How much of the stored crash histories a node has read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadProgress {
    /// Nothing yet.
    Unread,
    /// A stale copy, which may miss what was written in the last seconds before it was read.
    Stale,
    /// Everything that was stored at the time of the read; other nodes report what is written later. Also the state
    /// without a store.
    #[default]
    Current,
}
