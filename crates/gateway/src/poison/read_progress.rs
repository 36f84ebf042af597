//! How far a node has read the records of requests that are held back.

/// How far a node has read the records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadProgress {
    /// Not at all yet.
    Unread,
    /// As they were some seconds before.
    Stale,
    /// All that was recorded when the node asked; what comes later the others tell. Also where there is no store.
    #[default]
    Current,
}
