//! Puts chunks in order.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::{ChunkPlacement, RelayFault};

/// Most chunks held until an earlier one arrives.
const HELD_CHUNKS: usize = 64;
/// Most bytes of chunks held until an earlier one arrives.
const HELD_BYTES: usize = 256 * 1024;

/// Knows which chunk is due and holds those that came too early.
#[derive(Debug, Default)]
pub struct ChunkOrder {
    next: u64,
    held: BTreeMap<u64, Bytes>,
    held_bytes: usize,
}

impl ChunkOrder {
    /// Index of the next chunk that is due, which is the number of chunks delivered.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Where a chunk stands; one that is due counts as delivered from now on.
    pub fn place(&mut self, index: u64) -> ChunkPlacement {
        if index == self.next {
            self.next += 1;
            return ChunkPlacement::Due;
        }
        if index < self.next || self.held.contains_key(&index) {
            return ChunkPlacement::Duplicate;
        }
        ChunkPlacement::Early
    }

    /// Holds a chunk that came too early.
    pub fn hold(&mut self, index: u64, event: &[u8]) -> Result<(), RelayFault> {
        self.held_bytes += event.len();
        if self.held.len() >= HELD_CHUNKS || self.held_bytes > HELD_BYTES {
            return Err(RelayFault::Gap {
                expected: self.next,
            });
        }
        self.held.insert(index, Bytes::copy_from_slice(event));
        Ok(())
    }

    /// The next chunk, if it is held; it counts as delivered from now on.
    pub fn release(&mut self) -> Option<Bytes> {
        if self.held.is_empty() {
            return None;
        }
        let event = self.held.remove(&self.next)?;
        self.held_bytes -= event.len();
        self.next += 1;
        Some(event)
    }

    /// Forgets held chunks, when their stream has broken off.
    pub fn reset(&mut self) {
        self.held.clear();
        self.held_bytes = 0;
    }

    /// Fails when chunks are held for want of an earlier one.
    pub fn check_complete(&self) -> Result<(), RelayFault> {
        if self.held.is_empty() {
            return Ok(());
        }
        Err(RelayFault::Gap {
            expected: self.next,
        })
    }
}
