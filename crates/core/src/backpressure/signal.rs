//! What one answer says of its engine.

use std::time::Duration;

/// What one answer says of the engine that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signal {
    /// The engine leaves: it finishes what it has and wants nothing new.
    pub is_leaving: bool,
    /// The engine wants nothing more from the node that it answers for this time.
    pub backoff: Option<Duration>,
    /// Requests a second that the engine takes from all nodes together.
    pub rate_limit: Option<f64>,
}

impl Signal {
    /// Whether the answer says nothing of its engine.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
