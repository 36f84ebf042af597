//! Attempts that an engine took.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the attempts that an engine took; clones count together.
#[derive(Debug, Clone, Default)]
pub struct TakenCounter(Arc<AtomicU64>);

impl TakenCounter {
    /// Attempts taken so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    pub(super) fn add(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }
}
