//! What the simulated platform does to calls.

use std::time::Duration;

/// What the simulated platform does to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers at once.
    Healthy,
    /// Takes no call.
    Down,
    /// Answers after a delay.
    Slow(Duration),
    /// Carries out writes and loses their answers.
    AnswersLost,
    /// Reads and lists show the state of a while ago.
    StaleReads,
}
