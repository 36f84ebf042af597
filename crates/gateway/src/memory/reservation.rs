//! A part of the memory held for callers.

use std::sync::Arc;

use super::{HeldMemory, Purpose};

/// A part of the memory held for callers; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    pub(super) memory: Arc<HeldMemory>,
    pub(super) purpose: Purpose,
    pub(super) bytes: usize,
    /// Whether it uses the bytes set aside for a single long answer.
    pub(super) is_overdrawn: bool,
}

impl Reservation {
    /// How many bytes it is.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds what another one holds.
    pub(super) fn absorb(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
        self.is_overdrawn |= std::mem::take(&mut other.is_overdrawn);
        self.purpose = other.purpose;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.release(self.bytes, self.is_overdrawn);
    }
}
