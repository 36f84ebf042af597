//! Memory for lines that are not whole yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of an incomplete line that count for nothing: every stream may hold as much.
pub const FREE_LINE_BYTES: usize = 8 << 10;

/// Memory that the incomplete lines of many streams may take together. Without it, as many long
/// lines as there are streams could be begun and never ended.
#[derive(Debug)]
pub struct LineBudget {
    limit: usize,
    used: AtomicUsize,
}

impl LineBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    pub(super) fn limit(&self) -> usize {
        self.limit
    }
}

/// What one stream holds of a budget.
#[derive(Debug)]
pub(super) struct LineShare {
    pub(super) budget: Arc<LineBudget>,
    held: usize,
}

impl LineShare {
    pub(super) fn new(budget: Arc<LineBudget>) -> Self {
        Self { budget, held: 0 }
    }

    /// Holds as much as an incomplete line of `length` bytes takes; says whether there is room.
    pub(super) fn hold(&mut self, length: usize) -> bool {
        let wanted = length.saturating_sub(FREE_LINE_BYTES);
        let held = std::mem::replace(&mut self.held, wanted);
        if wanted <= held {
            self.budget.used.fetch_sub(held - wanted, Ordering::Relaxed);
            return true;
        }
        let more = wanted - held;
        let before = self.budget.used.fetch_add(more, Ordering::Relaxed);
        before + more <= self.budget.limit
    }
}

impl Drop for LineShare {
    fn drop(&mut self) {
        self.hold(0);
    }
}
