//! Measured durations of the phases of engines' answers.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::identity::PoolName;

use super::TimeEstimate;

/// Maximum number of estimates. Estimates of removed routes stay in the map; when the limit is
/// reached, all estimates are dropped and measured again.
const MAX_ESTIMATES: usize = 1_024;

/// Phase of an answer that is awaited on a connection to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerPhase {
    /// From sending a request to the head of its answer.
    Head,
    /// From the head of the answer to the first event of the stream.
    FirstEvent,
    /// The longest pause between two events of a stream.
    Pause,
}

/// Estimated durations of answer phases. They are kept separately for each pool, route and phase,
/// since model prompts and plain requests have little in common. See docs/design/accounting.md.
#[derive(Debug, Default)]
pub struct PhaseTimes {
    estimates: HashMap<(PoolName, String, AnswerPhase), TimeEstimate>,
}

impl PhaseTimes {
    /// Records that a phase took this time, or that it was still not complete after this time.
    pub fn note(&mut self, pool: &PoolName, route: &str, phase: AnswerPhase, took: Duration) {
        let key = (pool.clone(), route.to_owned(), phase);
        if self.estimates.len() >= MAX_ESTIMATES && !self.estimates.contains_key(&key) {
            self.estimates.clear();
        }
        let known = self.estimates.entry(key);
        known
            .and_modify(|estimate| estimate.note(took))
            .or_insert_with(|| TimeEstimate::first(took));
    }

    /// The estimate for a phase; `None` until there are enough samples.
    pub fn estimate(
        &self,
        pool: &PoolName,
        route: &str,
        phase: AnswerPhase,
    ) -> Option<TimeEstimate> {
        let key = (pool.clone(), route.to_owned(), phase);
        let estimate = self.estimates.get(&key)?;
        estimate.is_ready().then_some(*estimate)
    }
}
