//! What a checker does.

use crate::oracle::{Observation, Violation};

/// Checks one promise.
pub trait PromiseCheck {
    /// Takes the next observation and reports what it breaks.
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>);

    /// Reports what should have happened by now.
    fn check_overdue(&mut self, _now_us: u64, _found: &mut Vec<Violation>) {}
}
