//! Whether the target version does worse.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cumulative_sum::CumulativeSum;
use super::{Baseline, CountKey, Counts, EngineKey, Rollback, RouteKey};
use crate::Timestamp;

/// How much larger the share of bad answers of a worse version may be: some fail seldom, some always.
const EXCESSES: [f64; 3] = [0.06, 0.2, 0.5];
/// A score from which the target version is taken to do worse. A plain sequential test errs in one of
/// 160,000 cases at it; what engines do wrong by themselves makes that more. Measured over a hundred seeds a
/// case: docs/design/releases.md.
const CONVICTING_SCORE: f64 = 12.0;
/// Requests move only while the score is below this; two bad answers among ten lie above it. In a pool with
/// little traffic few answers come before requests are due to move, and of a version that fails one request
/// in ten hardly more than two of those are bad.
const CLEAR_SCORE: f64 = 4.5;
/// With so many engines of the target version at least three of them must do worse, and with fewer two: what
/// one or two engines alone do wrong need not be their software's fault.
const MANY_ENGINES: usize = 6;
/// An engine that crashes breaks off all that it runs, and nodes tell of that within this time of each other.
/// Of the bad answers of one engine within it ..
const CRASH_SPAN: Duration = Duration::from_millis(300);
/// .. so many count.
const MOST_OF_A_CRASH: u32 = 2;

/// Where the versions are compared, and how much worse the target version may be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Scope {
    /// One route, or all of them without.
    route: Option<RouteKey>,
    /// Index into [`EXCESSES`].
    excess: usize,
}

/// Compares the answers of the target version with those of the present one as they come: on each route,
/// since some versions fail on one only, and on all together.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    seen: Counts,
    references: BTreeMap<RouteKey, Baseline>,
    walks: BTreeMap<Scope, CumulativeSum>,
    bursts: BTreeMap<EngineKey, Burst>,
}

/// Bad answers of an engine that lie close together.
#[derive(Debug, Clone, Copy)]
struct Burst {
    begun_at: Timestamp,
    counted: u32,
}

impl Comparison {
    /// Takes all answers so far, of which some were taken before.
    pub fn observe(&mut self, total: &Counts, now: Timestamp) {
        for (cell, tally) in total.iter().filter(|(cell, _)| cell.is_present()) {
            let news = tally.since(self.seen.of(cell));
            self.references.entry(cell.route).or_default().note(news);
        }
        for (cell, tally) in total.iter().filter(|(cell, _)| !cell.is_present()) {
            let news = tally.since(self.seen.of(cell));
            if news.answers > 0 {
                let bad = self.counted_bad(cell.engine, news.bad(), now);
                let good = news.answers.saturating_sub(news.bad());
                self.step(cell, f64::from(bad), f64::from(good));
            }
        }
        self.seen.raise(total);
    }

    /// How many bad answers of an engine count.
    fn counted_bad(&mut self, engine: EngineKey, bad: u32, now: Timestamp) -> u32 {
        let fresh = Burst {
            begun_at: now,
            counted: 0,
        };
        let burst = self.bursts.entry(engine).or_insert(fresh);
        if now.since(burst.begun_at) >= CRASH_SPAN {
            *burst = fresh;
        }
        let counted = bad.min(MOST_OF_A_CRASH - burst.counted);
        burst.counted += counted;
        counted
    }

    fn step(&mut self, cell: CountKey, bad: f64, good: f64) {
        let reference = self
            .references
            .get(&cell.route)
            .copied()
            .unwrap_or_default();
        let usual = reference.bad_rate();
        for (excess, by) in EXCESSES.iter().enumerate() {
            let worse = usual + by;
            let log_ratio =
                bad * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln();
            for route in [None, Some(cell.route)] {
                let walk = self.walks.entry(Scope { route, excess }).or_default();
                walk.step(cell.engine, log_ratio);
            }
        }
    }

    /// Why the target version is taken to do worse; `engines` are those of it that take work.
    pub fn verdict(&self, engines: usize) -> Option<Rollback> {
        let (scope, score) = self.highest(engines)?;
        if score < CONVICTING_SCORE {
            return None;
        }
        let (target, present) = match scope.route {
            None => (self.seen.target(), self.seen.present()),
            Some(route) => (
                self.seen.target_on(route),
                self.seen.of(CountKey::present(route)),
            ),
        };
        Some(Rollback::Worse {
            route: scope.route,
            target,
            present,
            score,
        })
    }

    /// How many engines must do worse before a version with this many engines is taken to do worse.
    pub fn engines_to_convict(engines: usize) -> usize {
        match engines {
            // There is no other one to see it at.
            0 | 1 => engines,
            2..MANY_ENGINES => 2,
            _ => 3,
        }
    }

    /// Whether hardly anything speaks against the target version: only then may it get more requests than
    /// during the trial. What one engine does wrong alone is left out, unless there is no other one.
    pub fn is_clear(&self, engines: usize) -> bool {
        let scores = self.walks.values().map(|walk| match engines {
            0 | 1 => walk.score(f64::INFINITY),
            _ => walk.score_without_worst(),
        });
        scores.fold(0.0, f64::max) < CLEAR_SCORE
    }

    /// Sets all scores to zero: from now on only answers that are still to come count.
    pub fn forget_scores(&mut self) {
        self.walks.clear();
        self.bursts.clear();
    }

    fn highest(&self, engines: usize) -> Option<(Scope, f64)> {
        let most_of_one = match Self::engines_to_convict(engines) {
            0 | 1 => f64::INFINITY,
            engines => CONVICTING_SCORE / engines as f64,
        };
        let scores = self.walks.iter();
        let scores = scores.map(|(scope, walk)| (*scope, walk.score(most_of_one)));
        scores.max_by(|(_, left), (_, right)| left.total_cmp(right))
    }
}
