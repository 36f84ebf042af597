//! What to do with a chunk.

/// What to do with a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkPlacement {
    /// It is due: deliver it.
    Due,
    /// It was delivered or is held: drop it.
    Duplicate,
    /// An earlier one is missing: hold it.
    Early,
}
