//! Hasher for keys that are hashes already.

use std::hash::Hasher;

/// Passes a 64-bit key through. Block hashes need no second hash, and the same keys give the same
/// table in every run.
#[derive(Debug, Clone, Copy, Default)]
pub struct FixedHasher(u64);

impl Hasher for FixedHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}
