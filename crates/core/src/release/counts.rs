//! Answers of a release, counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CountKey, EngineKey, Judgement, RouteKey, Tally};

/// Answers of both versions since a release was heard of. They only rise, so a message that is lost
/// takes nothing away.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "Vec<(RouteKey, EngineKey, Tally)>",
    into = "Vec<(RouteKey, EngineKey, Tally)>"
)]
pub struct Counts(BTreeMap<CountKey, Tally>);

impl Counts {
    /// One more answer.
    pub fn note(&mut self, key: CountKey, judgement: Judgement) {
        self.0.entry(key).or_default().note(judgement);
    }

    /// Adds answers.
    pub fn add(&mut self, key: CountKey, tally: Tally) {
        self.0.entry(key).or_default().add(tally);
    }

    /// Adds all of others.
    pub fn add_all(&mut self, other: &Self) {
        for (key, tally) in other.iter() {
            self.add(key, tally);
        }
    }

    /// Takes a report of whoever reported these before.
    pub fn merge_max(&mut self, later: &Self) {
        for (key, tally) in later.iter() {
            self.0.entry(key).or_default().merge_max(tally);
        }
    }

    /// The answers that are counted together.
    pub fn of(&self, key: CountKey) -> Tally {
        self.0.get(&key).copied().unwrap_or_default()
    }

    /// All of them, in the order of their cells.
    pub fn iter(&self) -> impl Iterator<Item = (CountKey, Tally)> {
        self.0.iter().map(|(key, tally)| (*key, *tally))
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Answers of the present version.
    pub fn present(&self) -> Tally {
        self.sum(|key| key.is_present())
    }

    /// Answers of the target version.
    pub fn target(&self) -> Tally {
        self.sum(|key| !key.is_present())
    }

    /// Answers of the target version on a route.
    pub fn target_on(&self, route: RouteKey) -> Tally {
        self.sum(|key| key.route == route && !key.is_present())
    }

    /// How many answers came of each engine of the target version.
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
