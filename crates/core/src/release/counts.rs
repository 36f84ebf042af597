//! Counters of answers during a release.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CountKey, EngineKey, Judgement, RouteKey, Tally};

/// Counters of the answers of both versions since a node learned of the release. They only increase
/// and every report carries all of them, so a lost report does no harm.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "Vec<(RouteKey, EngineKey, Tally)>",
    into = "Vec<(RouteKey, EngineKey, Tally)>"
)]
pub struct Counts(BTreeMap<CountKey, Tally>);

impl Counts {
    /// Counts one answer.
    pub fn note(&mut self, key: CountKey, judgement: Judgement) {
        self.0.entry(key).or_default().note(judgement);
    }

    /// Adds `tally` to the counter of `key`.
    pub fn add(&mut self, key: CountKey, tally: Tally) {
        self.0.entry(key).or_default().add(tally);
    }

    /// Adds all counters of `other`.
    pub fn add_all(&mut self, other: &Self) {
        for (key, tally) in other.iter() {
            self.add(key, tally);
        }
    }

    /// Merges a report of the same reporter, taking the larger value of each counter.
    pub fn merge_max(&mut self, later: &Self) {
        for (key, tally) in later.iter() {
            self.0.entry(key).or_default().merge_max(tally);
        }
    }

    /// The counter of `key`.
    pub fn of(&self, key: CountKey) -> Tally {
        self.0.get(&key).copied().unwrap_or_default()
    }

    /// All counters in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (CountKey, Tally)> {
        self.0.iter().map(|(key, tally)| (*key, *tally))
    }

    /// Whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Answers of the present version on all routes.
    pub fn present(&self) -> Tally {
        self.sum(|key| key.is_present())
    }

    /// Answers of the target version on all routes.
    pub fn target(&self) -> Tally {
        self.sum(|key| !key.is_present())
    }

    /// Answers of the target version on a route.
    pub fn target_on(&self, route: RouteKey) -> Tally {
        self.sum(|key| key.route == route && !key.is_present())
    }

    /// Number of answers from each engine of the target version.
    pub fn target_by_engine(&self) -> impl Iterator<Item = u32> {
        let mut sums: BTreeMap<EngineKey, u32> = BTreeMap::new();
        for (key, tally) in self.iter().filter(|(key, _)| !key.is_present()) {
            *sums.entry(key.engine).or_default() += tally.answers;
        }
        sums.into_values()
    }

    fn sum(&self, is_counted: impl Fn(&CountKey) -> bool) -> Tally {
        let mut sum = Tally::default();
        for (_, tally) in self.iter().filter(|(key, _)| is_counted(key)) {
            sum.add(tally);
        }
        sum
    }
}

impl From<Vec<(RouteKey, EngineKey, Tally)>> for Counts {
    fn from(entries: Vec<(RouteKey, EngineKey, Tally)>) -> Self {
        let entries = entries.into_iter();
        Self(
            entries
                .map(|(route, engine, tally)| (CountKey { route, engine }, tally))
                .collect(),
        )
    }
}

impl From<Counts> for Vec<(RouteKey, EngineKey, Tally)> {
    fn from(counts: Counts) -> Self {
        let entries = counts.iter();
        entries
            .map(|(key, tally)| (key.route, key.engine, tally))
            .collect()
    }
}
