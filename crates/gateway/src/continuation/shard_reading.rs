//! How lately a node has read the stored records of a shard.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// Time for which a reading of a shard is not repeated, whatever streams callers name.
const READING_INTERVAL: Duration = Duration::from_secs(1);

/// How lately a node has read the stored records of a shard.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShardReading {
    /// Whether the shard is to be read.
    pub is_wanted: bool,
    /// When the last reading succeeded. A failed one tells nothing about what the store holds.
    pub read_at: Option<Timestamp>,
}

impl ShardReading {
    /// Whether the shard has been read so lately that another reading is not due.
    pub fn is_recent(&self, now: Timestamp) -> bool {
        self.read_at
            .is_some_and(|at| now.since(at) < READING_INTERVAL)
    }
}
