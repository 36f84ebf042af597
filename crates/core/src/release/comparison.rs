//! Whether the target version does worse.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::cumulative_sum::CumulativeSum;
use super::recent_answers::{COMPARISON_RADIUS, Control, RecentAnswers};
use super::{Baseline, CountKey, Counts, EngineKey, Rollback, RouteKey, Stage, Tally};
use crate::Timestamp;

/// How much larger the share of bad answers of a worse version may be: some fail seldom, some always.
const EXCESSES: [f64; 3] = [0.06, 0.2, 0.5];
/// A score from which the target version is taken to do worse. A plain sequential test errs in one of
/// 160,000 cases at it; what engines do wrong by themselves makes that more. Measured over a hundred seeds a
/// case: docs/design/releases.md.
const ROLLBACK_SCORE: f64 = 12.0;
/// Requests move only while the score is below this; two bad answers among ten lie above it. In a pool with
/// little traffic few answers come before requests are due to move, and of a version that fails one request
/// in ten hardly more than two of those are bad.
const MAX_SHIFT_SCORE: f64 = 4.5;
/// Requests move only when the answers are so much (the logarithm of twenty) more likely from a version that does
/// as well as the present one than from one ..
const MAX_ACCEPTED_SCORE: f64 = -3.0;
/// .. of which one answer in so many more is bad: in a pool with little traffic few bad answers come of such a one
/// during the trial, and without this half of them were completed (25 requests a second, a hundred seeds).
const ACCEPTED_EXCESS: f64 = 0.09;
/// Requests do not move while so many answers that came within this time were slow, and so much larger a share
/// of them than of the present version's: of a version with 7 answers a second of which four in ten have become
/// slow two seconds ago, most have come by then.
const MIN_SLOW_ANSWERS: u32 = 2;
const SLOW_EXCESS: f64 = 0.15;
const RECENT_TIME: Duration = Duration::from_secs(2);
/// With fewer answers in that time the last so many count: a pool with few engines sends its surges to the
/// target version with seconds between them.
const MIN_RECENT_ANSWERS: u32 = 10;
/// Answers to requests that were sent before the versions' shares changed have come by then, also slow ones:
/// they take several times as long as answers usually do, which is some hundred milliseconds.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(1_200);
/// With so many engines of the target version at least three of them must do worse, and with fewer two: what
/// one or two engines alone do wrong need not be their software's fault.
const MANY_ENGINES: usize = 6;
/// An engine that crashes breaks off all that it runs, and nodes tell of that within this time of each other.
/// Of the bad answers of one engine within it ..
const CRASH_SPAN: Duration = Duration::from_millis(300);
/// .. so many count.
const MAX_COUNTED_PER_CRASH: u32 = 2;

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
    pending: VecDeque<PendingAnswers>,
    /// Answers of the target version that came while all engines were slow: they say nothing of it.
    excluded: Counts,
    sums: BTreeMap<Scope, CumulativeSum>,
    bursts: BTreeMap<EngineKey, Burst>,
}

/// Answers that came at one moment.
#[derive(Debug, Clone, Copy)]
struct PendingAnswers {
    at: Timestamp,
    key: CountKey,
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
        let has_control = now.since(changed_at) >= MAX_ANSWER_DELAY;
        for (key, tally) in total.iter().filter(|(key, _)| key.is_present()) {
            let added = tally.since(self.seen.of(key));
            self.baselines.entry(key.route).or_default().note(added);
            self.control.note(added, now);
        }
        for (key, tally) in total.iter().filter(|(key, _)| !key.is_present()) {
            let tally = tally.since(self.seen.of(key));
            if tally.answers == 0 {
                continue;
            }
            self.recent.note(tally, now);
            match tally.slow {
                0 => self.count_answers(key, tally, 0.0, now),
                _ if !has_control => self.count_without_control(key, tally, now),
                _ => self.pending.push_back(PendingAnswers {
                    at: now,
                    key,
                    tally,
                }),
            }
        }
        self.seen.merge_max(total);
        while let Some(pending) = self
            .pending
            .pop_front_if(|pending| now.since(pending.at) >= COMPARISON_RADIUS)
        {
            self.count_pending(&pending, now);
        }
    }

    /// Takes answers with slow ones among them, now that those around them have come.
    fn count_pending(&mut self, pending: &PendingAnswers, now: Timestamp) {
        let PendingAnswers { key, tally, .. } = *pending;
        match self.control.around(pending.at) {
            Control::SlowShare(share) => {
                if share > self.bad_rate(key.route) {
                    self.excluded.add(key, tally);
                }
                self.count_answers(key, tally, share, now);
            }
            Control::Missing | Control::AllSlow => self.count_without_control(key, tally, now),
        }
    }

    /// Takes answers when there are none to compare slow ones with: only failures speak against the version,
    /// and none of them shows it to be good.
    fn count_without_control(&mut self, key: CountKey, tally: Tally, now: Timestamp) {
        self.excluded.add(key, tally);
        let failures = Tally { slow: 0, ..tally };
        self.count_answers(key, failures, 0.0, now);
    }

    /// Takes answers of the target version that came while so large a share of the present version's was
    /// slow.
    fn count_answers(&mut self, key: CountKey, tally: Tally, slow_share: f64, now: Timestamp) {
        let bad = self.counted_bad(key.engine, tally.bad(), now);
        let good = tally.answers.saturating_sub(tally.bad());
        let expected = self.bad_rate(key.route).max(slow_share);
        self.step(key, f64::from(bad), f64::from(good), expected);
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
        let counted = bad.min(MAX_COUNTED_PER_CRASH - burst.counted);
        burst.counted += counted;
        counted
    }

    fn step(&mut self, key: CountKey, bad: f64, good: f64, expected: f64) {
        for (excess, by) in EXCESSES.iter().enumerate() {
            let worse = expected + by;
            if worse >= 1.0 {
                continue;
            }
            let log_ratio = log_ratio(bad, good, expected, worse);
            for route in [None, Some(key.route)] {
                let sum = self.sums.entry(Scope { route, excess }).or_default();
                sum.step(key.engine, log_ratio);
            }
        }
    }

    /// Why the target version is taken to do worse; `engines` are those of it that take work.
    pub fn verdict(&self, engines: usize) -> Option<Rollback> {
        let (scope, score) = self.highest(engines)?;
        if score < ROLLBACK_SCORE {
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
    pub fn min_engines_for_rollback(engines: usize) -> usize {
        match engines {
            // There is no other one to see it at.
            0 | 1 => engines,
            2..MANY_ENGINES => 2,
            _ => 3,
        }
    }

    /// Whether the answers so far show that the target version is none that fails one request in ten more
    /// than the present one. What one engine does wrong alone is left out, unless there is no other one.
    pub fn is_accepted(&self, engines: usize) -> bool {
        let mut scores: BTreeMap<EngineKey, f64> = BTreeMap::new();
        for (key, tally) in self.seen.iter().filter(|(key, _)| !key.is_present()) {
            let expected = self.bad_rate(key.route);
            let tally = tally.since(self.excluded.of(key));
            let bad = f64::from(tally.bad());
            let good = f64::from(tally.answers) - bad;
            let score = log_ratio(bad, good, expected, expected + ACCEPTED_EXCESS);
            *scores.entry(key.engine).or_default() += score;
        }
        let worst = scores.values().copied().max_by(f64::total_cmp);
        let excluded = worst.filter(|_| engines > 1).unwrap_or_default();
        scores.values().sum::<f64>() - excluded <= MAX_ACCEPTED_SCORE
    }

    fn bad_rate(&self, route: RouteKey) -> f64 {
        let known = self.baselines.get(&route).copied();
        known.unwrap_or_default().bad_rate()
    }

    /// Whether hardly anything speaks against the target version: only then may it get more requests than
    /// during the trial. What one engine does wrong alone is left out, unless there is no other one.
    pub fn allows_shift(&self, engines: usize) -> bool {
        let scores = self.sums.values().map(|sum| match engines {
            0 | 1 => sum.score(f64::INFINITY),
            _ => sum.score_without_worst(),
        });
        scores.fold(0.0, f64::max) < MAX_SHIFT_SCORE
    }

    /// Whether more of the target version's last answers were slow than of the present version's in all. They
    /// may be the first of many, and whether all engines are slow is known only in the trial, and later.
    pub fn seems_slow(&self, now: Timestamp) -> bool {
        let recent = self
            .recent
            .since(now.before(RECENT_TIME), MIN_RECENT_ANSWERS);
        let expected = self.seen.present();
        recent.slow >= MIN_SLOW_ANSWERS && slow_share(recent) >= slow_share(expected) + SLOW_EXCESS
    }

    /// Sets all scores to zero: from now on only answers that are still to come count.
    pub fn reset_scores(&mut self) {
        self.sums.clear();
        self.bursts.clear();
    }

    fn highest(&self, engines: usize) -> Option<(Scope, f64)> {
        let max_per_engine = match Self::min_engines_for_rollback(engines) {
            0 | 1 => f64::INFINITY,
            engines => ROLLBACK_SCORE / engines as f64,
        };
        let scores = self.sums.iter();
        let scores = scores.map(|(scope, sum)| (*scope, sum.score(max_per_engine)));
        scores.max_by(|(_, left), (_, right)| left.total_cmp(right))
    }
}

fn slow_share(tally: Tally) -> f64 {
    f64::from(tally.slow) / f64::from(tally.answers.max(1))
}

/// How much more likely answers are if the share of bad ones is `worse` than if it is `expected`.
fn log_ratio(bad: f64, good: f64, expected: f64, worse: f64) -> f64 {
    bad * (worse / expected).ln() + good * ((1.0 - worse) / (1.0 - expected)).ln()
}
