//! What a load measured.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant digits of times.
const DIGITS: u8 = 3;

/// What a load measured.
#[derive(Debug, Clone)]
pub struct LoadResult {
    /// Answers that came whole.
    pub answers: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Chunks that came.
    pub chunks: u64,
    /// How long it ran.
    pub elapsed: Duration,
    /// Microseconds from sending a call to its first chunk.
    pub first_chunk: Histogram<u64>,
    /// Microseconds from the engine's sending of a chunk to its arrival.
    pub transit: Histogram<u64>,
}

impl Default for LoadResult {
    fn default() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the number of digits is valid");
        Self {
            answers: 0,
            failures: 0,
            chunks: 0,
            elapsed: Duration::ZERO,
            first_chunk: histogram(),
            transit: histogram(),
        }
    }
}

impl LoadResult {
    /// Adds what another load, or another stream of the same one, measured.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.chunks += other.chunks;
        self.elapsed += other.elapsed;
        let added = self.first_chunk.add(&other.first_chunk);
        added.expect("the histogram grows as needed");
        let added = self.transit.add(&other.transit);
        added.expect("the histogram grows as needed");
    }

    /// Chunks a second.
    pub fn chunks_per_second(&self) -> f64 {
        self.chunks as f64 / self.elapsed.as_secs_f64()
    }
}
