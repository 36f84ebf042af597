//! Hash of everything that happened in a run.

use xxhash_rust::xxh3::Xxh3;

/// Hash of everything that happened in a run, in order; equal runs have equal hashes.
#[derive(Default)]
pub struct TraceHash {
    hasher: Xxh3,
}

impl TraceHash {
    /// Adds what happened at `now_us`.
    pub fn add(&mut self, now_us: u64, what: &[u8]) {
        self.hasher.update(&now_us.to_le_bytes());
        self.hasher.update(&(what.len() as u64).to_le_bytes());
        self.hasher.update(what);
    }

    /// The hash so far.
    pub fn value(&self) -> u64 {
        self.hasher.digest()
    }
}
