//! Whether the target version does worse.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::cumulative_sum::CumulativeSum;
use super::recent_answers::{Control, REACH, RecentAnswers};
use super::{Baseline, CountKey, Counts, EngineKey, Rollback, RouteKey, Stage, Tally};
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
/// Requests move only when the answers are so much (the logarithm of twenty) more likely from a version that does
/// as well as the present one than from one ..
const ACCEPTING_SCORE: f64 = -3.0;
/// .. of which one answer in so many more is bad: in a pool with little traffic few bad answers come of such a one
/// during the trial, and without this half of them were completed (25 requests a second, a hundred seeds).
const ACCEPTED_EXCESS: f64 = 0.09;
/// Requests do not move while so many answers that came within this time were slow, and so much larger a share
/// of them than of the present version's: of a version with 7 answers a second of which four in ten have become
/// slow two seconds ago, most have come by then.
const LEAST_SLOW: u32 = 2;
const SLOW_EXCESS: f64 = 0.15;
const LATELY: Duration = Duration::from_secs(2);
/// With fewer answers in that time the last so many count: a pool with few engines sends its surges to the
/// target version with seconds between them.
const LAST_ANSWERS: u32 = 10;
/// Answers to requests that were sent before the versions' shares changed have come by then, also slow ones:
/// they take several times as long as answers usually do, which is some hundred milliseconds.
const ANSWERS_COME_WITHIN: Duration = Duration::from_millis(1_200);
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
///
/// Slow answers are compared with those of the same moments, and count for nothing where there are none:
/// what slows all engines down strikes many answers of both versions at once.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    seen: Counts,
    baselines: BTreeMap<RouteKey, Baseline>,
    /// The present version's answers of the last moments, which slow ones are compared with.
    control: RecentAnswers,
    /// The target version's answers of the last moments.
    recent: RecentAnswers,
    /// When the versions last got other shares of the requests than during the trial.
    shares_changed_at: Option<Timestamp>,
    /// Answers of the target version, slow ones among them, until those around them have come.
    held: VecDeque<Held>,
    /// Answers of the target version that came while all engines were slow: they say nothing of it.
    left_out: Counts,
    sums: BTreeMap<Scope, CumulativeSum>,
    bursts: BTreeMap<EngineKey, Burst>,
}

/// Answers that came at one moment.
#[derive(Debug, Clone, Copy)]
struct Held {
    at: Timestamp,
    cell: CountKey,
    tally: Tally,
}

/// Bad answers of an engine that lie close together.
#[derive(Debug, Clone, Copy)]
struct Burst {
    begun_at: Timestamp,
    counted: u32,
}

impl Comparison {
    /// Takes all answers so far, of which some were taken before.
    ///
    /// Slow answers convict during the trial alone. Each later stage changes the share of the requests that
    /// the present version gets; a slow answer comes late, when the answers around it are to requests of
    /// another share, and in the end there are none. Slowness then leads back to the trial
    /// ([`Self::seems_slow`]).
    pub fn observe(&mut self, total: &Counts, stage: Stage, now: Timestamp) {
        if stage != Stage::Trial {
            self.shares_changed_at = Some(now);
        }
        let changed_at = *self.shares_changed_at.get_or_insert(now);
        let has_control = now.since(changed_at) >= ANSWERS_COME_WITHIN;
        for (cell, tally) in total.iter().filter(|(cell, _)| cell.is_present()) {
            let news = tally.since(self.seen.of(cell));
            self.baselines.entry(cell.route).or_default().note(news);
            self.control.note(news, now);
        }
        for (cell, tally) in total.iter().filter(|(cell, _)| !cell.is_present()) {
            let tally = tally.since(self.seen.of(cell));
            if tally.answers == 0 {
                continue;
            }
            self.recent.note(tally, now);
            match tally.slow {
                0 => self.take(cell, tally, 0.0, now),
                _ if !has_control => self.take_without_control(cell, tally, now),
                _ => self.held.push_back(Held {
                    at: now,
                    cell,
                    tally,
                }),
            }
        }
        self.seen.raise(total);
        while let Some(held) = self.held.pop_front_if(|held| now.since(held.at) >= REACH) {
            self.take_held(&held, now);
        }
    }

    /// Takes answers with slow ones among them, now that those around them have come.
    fn take_held(&mut self, held: &Held, now: Timestamp) {
        let Held { cell, tally, .. } = *held;
        match self.control.around(held.at) {
            Control::SlowShare(share) => {
                if share > self.bad_rate(cell.route) {
                    self.left_out.add(cell, tally);
                }
                self.take(cell, tally, share, now);
            }
            Control::Missing | Control::AllSlow => self.take_without_control(cell, tally, now),
        }
    }

    /// Takes answers when there are none to compare slow ones with: only failures speak against the version,
    /// and none of them shows it to be good.
    fn take_without_control(&mut self, cell: CountKey, tally: Tally, now: Timestamp) {
        self.left_out.add(cell, tally);
        let failures = Tally { slow: 0, ..tally };
        self.take(cell, failures, 0.0, now);
    }

    /// Takes answers of the target version that came while so large a share of the present version's was
    /// slow.
    fn take(&mut self, cell: CountKey, tally: Tally, slow_share: f64, now: Timestamp) {
        let bad = self.counted_bad(cell.engine, tally.bad(), now);
        let good = tally.answers.saturating_sub(tally.bad());
        let usual = self.bad_rate(cell.route).max(slow_share);
        self.step(cell, f64::from(bad), f64::from(good), usual);
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

    fn step(&mut self, cell: CountKey, bad: f64, good: f64, usual: f64) {
        for (excess, by) in EXCESSES.iter().enumerate() {
            let worse = usual + by;
            if worse >= 1.0 {
                continue;
            }
            let log_ratio = log_ratio(bad, good, usual, worse);
            for route in [None, Some(cell.route)] {
                let sum = self.sums.entry(Scope { route, excess }).or_default();
                sum.step(cell.engine, log_ratio);
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

    /// Whether the answers so far show that the target version is none that fails one request in ten more
    /// than the present one. What one engine does wrong alone is left out, unless there is no other one.
    pub fn has_shown_as_good(&self, engines: usize) -> bool {
        let mut scores: BTreeMap<EngineKey, f64> = BTreeMap::new();
        for (key, tally) in self.seen.iter().filter(|(key, _)| !key.is_present()) {
            let usual = self.bad_rate(key.route);
            let tally = tally.since(self.left_out.of(key));
            let bad = f64::from(tally.bad());
            let good = f64::from(tally.answers) - bad;
            let score = log_ratio(bad, good, usual, usual + ACCEPTED_EXCESS);
            *scores.entry(key.engine).or_default() += score;
        }
        let worst = scores.values().copied().max_by(f64::total_cmp);
        let left_out = worst.filter(|_| engines > 1).unwrap_or_default();
        scores.values().sum::<f64>() - left_out <= ACCEPTING_SCORE
    }

    fn bad_rate(&self, route: RouteKey) -> f64 {
        let known = self.baselines.get(&route).copied();
        known.unwrap_or_default().bad_rate()
    }

    /// Whether hardly anything speaks against the target version: only then may it get more requests than
    /// during the trial. What one engine does wrong alone is left out, unless there is no other one.
    pub fn is_clear(&self, engines: usize) -> bool {
        let scores = self.sums.values().map(|sum| match engines {
            0 | 1 => sum.score(f64::INFINITY),
            _ => sum.score_without_worst(),
        });
        scores.fold(0.0, f64::max) < CLEAR_SCORE
    }

    /// Whether more of the target version's last answers were slow than of the present version's in all. They
    /// may be the first of many, and whether all engines are slow is known only in the trial, and later.
    pub fn seems_slow(&self, now: Timestamp) -> bool {
        let lately = self.recent.since(now.before(LATELY), LAST_ANSWERS);
        let usual = self.seen.present();
        lately.slow >= LEAST_SLOW && slow_share(lately) >= slow_share(usual) + SLOW_EXCESS
    }

    /// Sets all scores to zero: from now on only answers that are still to come count.
    pub fn forget_scores(&mut self) {
        self.sums.clear();
        self.bursts.clear();
    }

    fn highest(&self, engines: usize) -> Option<(Scope, f64)> {
        let most_of_one = match Self::engines_to_convict(engines) {
            0 | 1 => f64::INFINITY,
            engines => CONVICTING_SCORE / engines as f64,
        };
        let scores = self.sums.iter();
        let scores = scores.map(|(scope, sum)| (*scope, sum.score(most_of_one)));
        scores.max_by(|(_, left), (_, right)| left.total_cmp(right))
    }
}

fn slow_share(tally: Tally) -> f64 {
    f64::from(tally.slow) / f64::from(tally.answers.max(1))
}

/// How much more likely answers are if the share of bad ones is `worse` than if it is `usual`.
fn log_ratio(bad: f64, good: f64, usual: f64, worse: f64) -> f64 {
    bad * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}
