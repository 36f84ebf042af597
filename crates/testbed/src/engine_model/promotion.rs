//! When waiting batch work counts as interactive.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::Priority;

/// Tells at one moment which work is urgent: interactive work, and batch work that waited long.
#[derive(Debug, Clone, Copy)]
pub(super) struct Promotion {
    /// The moment.
    pub now: Timestamp,
    /// How long batch work waits before it is urgent.
    pub after: Duration,
}

impl Promotion {
    /// Whether work that arrived then is urgent now.
    pub fn is_urgent(&self, priority: Priority, arrived_at: Timestamp) -> bool {
        priority == Priority::Interactive || self.now.since(arrived_at) >= self.after
    }
}
