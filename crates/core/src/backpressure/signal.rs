//! Backpressure in one response of an engine.

use std::time::Duration;

/// Backpressure signalled by one response of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signal {
    /// The engine is leaving: it finishes its current requests and accepts no new ones.
    pub is_leaving: bool,
    /// Time for which the receiving node must send the engine nothing more.
    pub backoff: Option<Duration>,
    /// Requests per second that the engine accepts from all nodes together.
    pub rate_limit: Option<f64>,
    /// Refusals for lack of capacity, in any second, that the engine withstands. An engine that has to refuse more
    /// requests fails.
    pub max_refusals: Option<u32>,
}

impl Signal {
    /// Whether the response carries no backpressure signal.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
