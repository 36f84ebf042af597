//! Bounds the memory that request bodies hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bounds the memory that all request bodies of the process hold together.
///
/// A body is held until its answer is complete, because another attempt may need it.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    held: AtomicUsize,
    limit: usize,
}

/// The share of one body; given back when dropped.
#[derive(Debug)]
pub(crate) struct BodyLease {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            held: AtomicUsize::new(0),
            limit,
        }
    }

    /// An empty share, which grows as its body arrives.
    pub(crate) fn lease(self: &Arc<Self>) -> BodyLease {
        BodyLease {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyLease {
    /// Adds bytes to the share; `false` when the budget does not hold them.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let before = self.budget.held.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > self.budget.limit {
            self.budget.held.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
