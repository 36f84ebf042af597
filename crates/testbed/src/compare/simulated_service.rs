//! A plain service process of a simulated cluster.

use std::collections::VecDeque;

use ryerouter_core::identity::AttemptId;

/// A plain service process: a fixed number of requests at once, each for a fixed time.
#[derive(Debug, Default)]
pub(super) struct SimulatedService {
    /// Requests it works on.
    pub busy: u32,
    /// Requests that wait, in order of arrival.
    pub waiting: VecDeque<AttemptId>,
}
