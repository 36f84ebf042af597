//! Options of a measurement.

use std::time::Duration;

/// Options of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct OverheadOptions {
    /// Streams at once.
    pub streams: usize,
    /// Length of each part of the measurement.
    pub part: Duration,
    /// Time between chunks of a stream in the latency part.
    pub chunk_interval: Duration,
    /// Traffic threads of the node.
    pub traffic_threads: usize,
    /// Streams that are held idle for the memory part.
    pub idle_streams: usize,
}
