//! Calls that a node made to the store of versions and streams.

/// Calls that a node made to the store of versions and streams since it was started, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCalls {
    /// Readings of the versions of all pools.
    pub versions_read: u32,
    /// Those of them for streams that waited for it.
    pub versions_confirmed: u32,
    /// Writes of the versions of a pool.
    pub versions_written: u32,
    /// Readings of a shard.
    pub shards_read: u32,
    /// Those of them for streams that nobody knew.
    pub shards_wanted: u32,
    /// Writes of a segment.
    pub segments_written: u32,
    /// Those of them that found another node's.
    pub conflicts: u32,
    /// Calls that failed.
    pub failures: u32,
}
