//! How long parts of engines' answers take, by what was seen.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::identity::PoolName;

use super::TimeEstimate;

/// Most estimates that are kept: routes that were dropped leave theirs behind. Beyond it all are
/// forgotten and learnt anew.
const MAX_ESTIMATES: usize = 1_024;

/// What is waited for on a connection to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResponsePhase {
    /// From sending a request to the head of its answer.
    Head,
    /// From there to the first event of a stream.
    FirstEvent,
    /// The longest pause between the events of one stream.
    Pause,
}

/// How long parts of answers take: for each pool, route and part by itself, since prompts and plain
/// requests have little in common. See docs/design/accounting.md.
#[derive(Debug, Default)]
pub struct PhaseTimes {
    estimates: HashMap<(PoolName, String, ResponsePhase), TimeEstimate>,
}

impl PhaseTimes {
    /// A part of an answer came after so long, or not until then.
    pub fn note(&mut self, pool: &PoolName, route: &str, phase: ResponsePhase, took: Duration) {
        let key = (pool.clone(), route.to_owned(), phase);
        if self.estimates.len() >= MAX_ESTIMATES && !self.estimates.contains_key(&key) {
            self.estimates.clear();
        }
        let known = self.estimates.entry(key);
        known
            .and_modify(|estimate| estimate.note(took))
            .or_insert_with(|| TimeEstimate::first(took));
    }

    /// What is known of a part; `None` before enough was seen.
    pub fn estimate(
        &self,
        pool: &PoolName,
        route: &str,
        phase: ResponsePhase,
    ) -> Option<TimeEstimate> {
        let key = (pool.clone(), route.to_owned(), phase);
        let estimate = self.estimates.get(&key)?;
        estimate.is_ready().then_some(*estimate)
    }
}
