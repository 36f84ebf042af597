//! Options of a demonstration.

use slog::Logger;

use crate::scenario::Scenario;

/// Options of a demonstration.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// The deployment and its load.
    pub scenario: Scenario,
    /// Seed of everything random.
    pub seed: u64,
    /// Requests to send.
    pub requests: usize,
    /// Where nodes log.
    pub logger: Logger,
}
