//! Statistical comparison of the target version with the present one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::cumulative_sum::CumulativeSum;
use super::recent_answers::{COMPARISON_RADIUS, Control, RecentAnswers};
use super::{Baseline, CountKey, Counts, EngineKey, Rollback, RouteKey, Stage, Tally};
use crate::Timestamp;

/// Excess shares of bad answers that the target version is tested for: some versions fail rarely,
/// some always.
const EXCESSES: [f64; 3] = [0.06, 0.2, 0.5];
/// Score at which the target version is rolled back. A plain sequential test errs in one of 160,000
/// cases at this score. Faults of single engines, unrelated to their software, make errors more
/// frequent; docs/design/releases.md has the rates measured with a hundred seeds per case.
const ROLLBACK_SCORE: f64 = 12.0;
/// Requests move to the target version only while the score is below this. Two bad answers out of
/// ten exceed it. The limit must be that low for pools with little traffic: few answers arrive
/// there before requests are due to move, and a version that fails one request in ten gives hardly
/// more than two bad answers in that time.
const MAX_SHIFT_SCORE: f64 = 4.5;
/// Requests move only if the logarithm of a likelihood ratio is at most this. The ratio compares a
/// version whose share of bad answers is larger by [`ACCEPTED_EXCESS`] with one that does as well
/// as the present version. The bound means that the answers are twenty times as likely from the
/// latter.
const MAX_ACCEPTED_SCORE: f64 = -3.0;
/// Excess share of bad answers that must be ruled out before requests move. Pools with little
/// traffic see few bad answers during the trial. Without this condition, half of the releases of
/// versions with this excess were completed (25 requests per second, a hundred seeds).
const ACCEPTED_EXCESS: f64 = 0.09;
/// Requests don't move while at least this many recent answers were slow and their share exceeds
/// that of the present version by [`SLOW_EXCESS`].
const MIN_SLOW_ANSWERS: u32 = 2;
/// Excess share of slow answers; see [`MIN_SLOW_ANSWERS`].
const SLOW_EXCESS: f64 = 0.15;
/// Period of recent answers. If four in ten answers of a version with 7 answers per second became
/// slow two seconds ago, most of the slow answers since then have arrived.
const RECENT_TIME: Duration = Duration::from_secs(2);
/// Minimum number of recent answers. If fewer came within [`RECENT_TIME`], older ones are included,
/// because in a pool with few engines the target version gets its requests in surges that are
/// seconds apart.
const MIN_RECENT_ANSWERS: u32 = 10;
/// Time after which requests sent before a change of the versions' shares have been answered. Slow
/// answers take several times as long as usual ones, which take some hundred milliseconds.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(1_200);
/// With at least this many target engines, three of them must do worse before a rollback; with
/// fewer engines, two (see [`Comparison::min_engines_for_rollback`]). Faults of one or two engines
/// need not be caused by their software.
const MANY_ENGINES: usize = 6;
/// When an engine crashes, all of its requests fail, and nodes report these failures within this
/// time of each other.
const CRASH_SPAN: Duration = Duration::from_millis(300);
/// Maximum number of bad answers of one engine that count within [`CRASH_SPAN`].
const MAX_COUNTED_PER_CRASH: u32 = 2;

/// One of the sequential tests: a route, and an excess share of bad answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Scope {
    /// The route; `None` for all routes together.
    route: Option<RouteKey>,
    /// Index into [`EXCESSES`].
    excess: usize,
}

/// Compares the answers of the target version with those of the present one as they arrive. The
/// comparison is made for each route, since some versions fail on a single one, and for all routes
/// together.
///
/// Slow answers are compared with the present version's answers at the same time, and ignored if
/// there are none. A cause that slows all engines down affects many answers of both versions at
/// once.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    seen: Counts,
    baselines: BTreeMap<RouteKey, Baseline>,
    /// Recent answers of the present version, with which slow ones are compared.
    control: RecentAnswers,
    /// Recent answers of the target version.
    recent: RecentAnswers,
    /// When the versions' shares of the requests last differed from those of the trial.
    shares_changed_at: Option<Timestamp>,
    /// Answers of the target version that include slow ones. They are counted once the present
    /// version's answers of the same time have arrived.
    pending: VecDeque<PendingAnswers>,
    /// Answers of the target version that came while all engines were slow, or that had no answers
    /// to be compared with. They are no evidence that the version is good.
    excluded: Counts,
    sums: BTreeMap<Scope, CumulativeSum>,
    bursts: BTreeMap<EngineKey, Burst>,
}

/// Answers of one route and engine that arrived at the same time.
#[derive(Debug, Clone, Copy)]
struct PendingAnswers {
    at: Timestamp,
    key: CountKey,
    tally: Tally,
}

/// Bad answers of an engine in short succession.
#[derive(Debug, Clone, Copy)]
struct Burst {
    started_at: Timestamp,
    counted: u32,
}

impl Comparison {
    /// Processes `total`, which contains all answers so far, including those of earlier calls.
    ///
    /// Slow answers lead to a rollback only during the trial. Later stages change the share of
    /// requests that the present version gets. A slow answer arrives late, when the answers around
    /// it belong to requests sent under other shares, and in the last stage there are none to
    /// compare with. In later stages, a version that seems slow ([`Self::seems_slow`]) goes back to
    /// the trial instead.
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

    /// Counts answers that include slow ones, now that the present version's answers of the same
    /// time have arrived.
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

    /// Counts answers when there are none to compare slow ones with. Only failures count against
    /// the version, and none of the answers count in its favour.
    fn count_without_control(&mut self, key: CountKey, tally: Tally, now: Timestamp) {
        self.excluded.add(key, tally);
        let failures = Tally { slow: 0, ..tally };
        self.count_answers(key, failures, 0.0, now);
    }

    /// Counts answers of the target version that arrived while the share `slow_share` of the
    /// present version's answers was slow.
    fn count_answers(&mut self, key: CountKey, tally: Tally, slow_share: f64, now: Timestamp) {
        let bad = self.counted_bad(key.engine, tally.bad(), now);
        let good = tally.answers.saturating_sub(tally.bad());
        let expected = self.bad_rate(key.route).max(slow_share);
        self.step(key, f64::from(bad), f64::from(good), expected);
    }

    /// Limits the bad answers of an engine that count, so that a crash counts only once.
    fn counted_bad(&mut self, engine: EngineKey, bad: u32, now: Timestamp) -> u32 {
        let fresh = Burst {
            started_at: now,
            counted: 0,
        };
        let burst = self.bursts.entry(engine).or_insert(fresh);
        if now.since(burst.started_at) >= CRASH_SPAN {
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

    /// Returns a rollback if the target version does worse. `engines` is the number of its engines
    /// that accept requests.
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

    /// Number of engines that must do worse before a version with `engines` engines is rolled back.
    pub fn min_engines_for_rollback(engines: usize) -> usize {
        match engines {
            // There is no second engine to confirm the fault.
            0 | 1 => engines,
            2..MANY_ENGINES => 2,
            _ => 3,
        }
    }

    /// Whether the answers so far rule out that the target version fails about one request in ten
    /// (`ACCEPTED_EXCESS`) more than the present one. The worst engine is left out, unless it is the
    /// only one, because its faults need not be caused by the software.
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
        let omitted = worst.filter(|_| engines > 1).unwrap_or_default();
        scores.values().sum::<f64>() - omitted <= MAX_ACCEPTED_SCORE
    }

    fn bad_rate(&self, route: RouteKey) -> f64 {
        let known = self.baselines.get(&route).copied();
        known.unwrap_or_default().bad_rate()
    }

    /// Whether there is so little evidence against the target version that it may get more requests
    /// than during the trial. The worst engine is left out, unless it is the only one, because its
    /// faults need not be caused by the software.
    pub fn allows_shift(&self, engines: usize) -> bool {
        let scores = self.sums.values().map(|sum| match engines {
            0 | 1 => sum.score(f64::INFINITY),
            _ => sum.score_without_worst(),
        });
        scores.fold(0.0, f64::max) < MAX_SHIFT_SCORE
    }

    /// Whether a larger share of the target version's recent answers was slow than of all answers
    /// of the present version. These may be the first of many slow answers, and whether all engines
    /// are slow can be determined only during the trial and with some delay.
    pub fn seems_slow(&self, now: Timestamp) -> bool {
        let recent = self
            .recent
            .since(now.before(RECENT_TIME), MIN_RECENT_ANSWERS);
        let expected = self.seen.present();
        recent.slow >= MIN_SLOW_ANSWERS && slow_share(recent) >= slow_share(expected) + SLOW_EXCESS
    }

    /// Resets all scores to zero, so that only future answers count.
    pub fn reset_scores(&mut self) {
        self.sums.clear();
        self.bursts.clear();
    }

    /// The test with the highest score, and the score. The part of each engine is limited so that
    /// fewer engines than [`Self::min_engines_for_rollback`] can't reach [`ROLLBACK_SCORE`].
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

/// Logarithm of the likelihood ratio of the answers: a rate of bad answers of `worse` against a
/// rate of `expected`.
fn log_ratio(bad: f64, good: f64, expected: f64, worse: f64) -> f64 {
    bad * (worse / expected).ln() + good * ((1.0 - worse) / (1.0 - expected)).ln()
}
