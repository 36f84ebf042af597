//! The node that writes a shard.

/// The node that writes the records of a shard, as another node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writer<T> {
    /// The node itself.
    Own,
    /// Another one.
    Other(T),
    /// The node itself as far as it knows, but it has just started and doesn't know all others yet.
    Undecided,
}
