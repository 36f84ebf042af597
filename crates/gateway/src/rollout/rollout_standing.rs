//! How many engines have older weights than published, and why.

use std::collections::BTreeMap;

use ryerouter_core::Timestamp;

use super::{BehindReason, WeightsDeadlines};
use crate::engines::{Engine, EngineTable};

/// Engines with older weights than published, by reason.
///
/// Engines that are leaving are counted, but they are not behind: they are not brought to newer
/// weights, and [`Gateway::has_outdated_engines`](crate::gateway::Gateway::has_outdated_engines)
/// passes over them too.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutStanding {
    counts: BTreeMap<BehindReason, usize>,
    first_deadline: Option<Timestamp>,
}

impl RolloutStanding {
    /// Counts the engines. `reason` says why an engine has older weights of a model than the
    /// published version; an engine with several such models is counted once.
    pub(super) fn new(
        engines: &EngineTable,
        deadlines: &WeightsDeadlines,
        reason: impl Fn(&Engine) -> BehindReason,
    ) -> Self {
        let published: Vec<_> = deadlines.newest().collect();
        let mut standing = Self::default();
        for engine in engines.iter() {
            let mut older = published.iter().filter_map(|(model, newest)| {
                let has = engine.weights_of(model)?;
                (has < *newest).then_some((*model, has))
            });
            let Some((model, has)) = older.next() else {
                continue;
            };
            let deadline = deadlines.load_deadline(model, has);
            standing.count_engine(reason(engine), deadline);
        }
        standing
    }

    fn count_engine(&mut self, reason: BehindReason, deadline: Option<Timestamp>) {
        *self.counts.entry(reason).or_default() += 1;
        if reason != BehindReason::Leaving {
            self.first_deadline = self.first_deadline.into_iter().chain(deadline).min();
        }
    }

    /// Number of engines with older weights for this reason.
    pub fn count(&self, reason: BehindReason) -> usize {
        self.counts.get(&reason).copied().unwrap_or_default()
    }

    /// Number of engines that are to get newer weights.
    pub fn behind(&self) -> usize {
        let all: usize = self.counts.values().sum();
        all - self.count(BehindReason::Leaving)
    }

    /// When the first of the engines behind must have loaded; `None` if none is behind.
    pub fn first_deadline(&self) -> Option<Timestamp> {
        self.first_deadline
    }
}
