//! State machine of a release, run by its director.

use std::time::Duration;

use super::{
    Comparison, CountKey, Counts, Exposure, Fleet, Grant, Order, RejectedVersions, Rollback,
    Settings, Stage,
};
use crate::Timestamp;

/// Share of the ramp that the trial takes. A version may fail only after a while, and the rest of
/// the ramp must suffice for all requests to move and for those in progress to end.
const TRIAL_SHARE: f64 = 0.6;
/// Minimum duration of the trial after a change of director, or after requests had begun to move
/// and went back. In both cases the target version has answered few requests recently, so the
/// counts may be out of date. The time suffices for grants and answers to arrive and for the
/// answers to be reported.
const MIN_TRIAL_TIME: Duration = Duration::from_secs(2);
/// Time after which the pool's traffic can be estimated; answers take some hundred milliseconds.
const TRAFFIC_MEASURING_TIME: Duration = Duration::from_secs(2);
/// Maximum share of requests that the slack ([`Settings::exposure_slack`]) adds to the target
/// version's share. In a pool with few requests, the slack is a large part of what the target
/// version may get, and is needed to get enough answers to detect a bad version. The limit spreads
/// it over the trial.
const MAX_SLACK_SHARE: f64 = 0.15;
/// Shares of new requests that the target version gets in sequence before it gets all. The steps
/// are few, because while they last a version that has become bad gets more requests than in the
/// trial.
const SHIFT_SHARES: [f64; 2] = [0.3, 0.6];
/// Duration of each step: time for a grant to reach every node, and for some answers after that.
const SHIFT_STEP_TIME: Duration = Duration::from_millis(700);
/// Minimum number of answers of the target version before requests move. Of a version that fails
/// one request in ten, four answers are bad by then.
const MIN_ANSWERS: u32 = 40;
/// Minimum number of answers per engine. At least as many engines as are needed for a rollback must
/// reach it, because faults of a single engine don't count against the version.
const MIN_ANSWERS_PER_ENGINE: u32 = 5;
/// Number of answers of the present version below which the pool is considered to have no traffic.
const MIN_PRESENT_ANSWERS: u32 = 10;
/// Number of answers of the present version that makes a route busy.
const BUSY_ROUTE_ANSWERS: u32 = 100;
/// Number of answers of the target version that always suffices on a busy route.
const MAX_ANSWERS_NEEDED_PER_ROUTE: u32 = 10;
/// On a busy route it also suffices that the target version has given this share of the number of
/// answers of the present version.
const MIN_SHARE_PER_ROUTE: f64 = 0.02;
/// Minimum ratio of target engines to present engines with which the target version can serve all
/// requests.
const MIN_ENGINE_RATIO: f64 = 0.8;
/// The release is completed when no request has been seen on engines of the present version for
/// this time. Reports of requests in progress are up to one second old.
const IDLE_TIME: Duration = Duration::from_millis(1_200);
/// A version that has not passed the trial after this many times [`Order::ramp`] is rolled back. Its
/// engines may not have started, or may not answer.
const MAX_RAMPS: u32 = 3;

/// State machine of a release, run by its director.
#[derive(Debug, Clone)]
pub struct Progress {
    order: Order,
    settings: Settings,
    started_at: Timestamp,
    stage: Stage,
    stage_since: Timestamp,
    comparison: Comparison,
    rollback: Option<Rollback>,
    idle_since: Option<Timestamp>,
    exposure: Exposure,
}

impl Progress {
    /// Starts a release.
    pub fn new(order: Order, settings: Settings, now: Timestamp) -> Self {
        Self {
            order,
            settings,
            started_at: now,
            stage: Stage::Trial,
            stage_since: now,
            comparison: Comparison::default(),
            rollback: None,
            idle_since: None,
            exposure: Exposure {
                share: 0.0,
                window: super::Window { first: 0, count: 0 },
            },
        }
    }

    /// Resumes a release started by another director. `grant` is its last known grant, received
    /// `age` ago. If requests had begun to move, the release continues with the trial; this takes
    /// time but does not affect callers.
    pub fn resume(grant: &Grant, age: Duration, settings: Settings, now: Timestamp) -> Self {
        let started_at = now.before(age).before(grant.elapsed);
        let mut trial = Self::new(grant.order.clone(), settings, now);
        trial.started_at = started_at;
        if grant.stage.is_final() {
            trial.stage = grant.stage;
        }
        trial
    }

    /// Sets the comparison that this node maintained before it became the director. If the
    /// comparison processed all answers again, they would seem to arrive at one time, as in a
    /// crash, and few of them would count.
    pub fn with_comparison(self, comparison: Comparison, rollback: Option<Rollback>) -> Self {
        Self {
            comparison,
            rollback,
            ..self
        }
    }

    /// The order of the release.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Reason for the rollback, if there is one.
    pub fn rollback(&self) -> Option<&Rollback> {
        self.rollback.as_ref()
    }

    /// Time since the release began.
    pub fn elapsed(&self, now: Timestamp) -> Duration {
        now.since(self.started_at)
    }

    /// Updates the stage from what is known now; returns `true` if it has changed.
    pub fn advance(&mut self, fleet: &Fleet, total: &Counts, now: Timestamp) -> bool {
        let before = self.stage;
        if before.is_final() {
            return false;
        }
        self.comparison.observe(total, before, now);
        if self.rollback.is_none() {
            self.rollback = self.comparison.verdict(fleet.target);
        }
        let next = match before {
            _ if self.rollback.is_some() => Stage::RolledBack,
            Stage::Trial => self.after_trial(fleet, total, now),
            Stage::Shifting => self.after_shift(fleet, now),
            _ => self.after_settling(fleet, now),
        };
        if next != before {
            self.stage = next;
            self.stage_since = now;
        }
        self.exposure = self.exposure_at(fleet, total, now);
        next != before
    }

    /// Handles the removal of the order by the operator.
    pub fn withdraw(&mut self) {
        if !self.stage.is_final() {
            self.stage = Stage::Withdrawn;
            self.exposure.share = 0.0;
        }
    }

    /// What nodes may do until they receive the next grant.
    pub fn grant(&self, revision: u64, fence: u64, number: u64, now: Timestamp) -> Grant {
        let is_trial = self.stage == Stage::Trial;
        Grant {
            order: self.order.clone(),
            revision,
            stage: self.stage,
            share: self.exposure.share,
            window: is_trial.then_some(self.exposure.window),
            fence,
            number,
            elapsed: self.elapsed(now),
            rejected: RejectedVersions::default(),
        }
    }

    /// The stage that follows the trial, or the trial itself while it must go on.
    fn after_trial(&mut self, fleet: &Fleet, total: &Counts, now: Timestamp) -> Stage {
        let elapsed = self.elapsed(now);
        if elapsed >= self.order.ramp * MAX_RAMPS && now.since(self.stage_since) >= self.order.ramp
        {
            self.rollback = Some(Rollback::Unproven {
                target: total.target(),
                waited: elapsed,
            });
            return Stage::RolledBack;
        }
        let is_due = elapsed >= self.order.ramp.mul_f64(TRIAL_SHARE)
            && now.since(self.stage_since) >= MIN_TRIAL_TIME;
        let is_proven =
            has_enough_answers(total, fleet.target) && self.comparison.allows_shift(fleet.target);
        let is_proven =
            is_proven && (!has_traffic(total) || self.comparison.is_accepted(fleet.target));
        let is_decided = is_proven && !self.comparison.seems_slow(now);
        match is_due && is_decided && has_capacity_for_all(fleet) {
            true => Stage::Shifting,
            false => Stage::Trial,
        }
    }

    /// The stage that follows [`Stage::Shifting`], or that stage itself while it must go on; the trial
    /// again if there is evidence against the target version or it lacks capacity.
    fn after_shift(&self, fleet: &Fleet, now: Timestamp) -> Stage {
        let is_doubtful =
            !self.comparison.allows_shift(fleet.target) || self.comparison.seems_slow(now);
        if is_doubtful || !has_capacity_for_all(fleet) {
            return Stage::Trial;
        }
        let length = SHIFT_STEP_TIME * SHIFT_SHARES.len() as u32;
        match now.since(self.stage_since) >= length {
            true => Stage::Settling,
            false => Stage::Shifting,
        }
    }

    /// The stage that follows [`Stage::Settling`], or that stage itself while it must go on; the trial
    /// again if the target version seems slow or lacks capacity.
    fn after_settling(&mut self, fleet: &Fleet, now: Timestamp) -> Stage {
        if !has_capacity_for_all(fleet) || self.comparison.seems_slow(now) {
            self.idle_since = None;
            return Stage::Trial;
        }
        let settled = now.since(self.stage_since);
        let is_idle = fleet.running_at_present == 0 && !fleet.has_silent_nodes;
        let idle_since = self.idle_since.get_or_insert(now);
        if !is_idle {
            *idle_since = now;
        }
        // Nodes that don't report may still have requests on engines of the present version, but
        // these end within this time.
        let has_timed_out = settled >= fleet.max_request_duration + self.settings.grant_lifetime();
        let is_idle_for_long = now.since(*idle_since) >= IDLE_TIME;
        // Time for the grant of this stage to reach the nodes. Where it does not arrive, the earlier
        // grant expires.
        let has_arrived = settled >= IDLE_TIME;
        match (is_idle_for_long && has_arrived) || has_timed_out {
            true => Stage::Completed,
            false => Stage::Settling,
        }
    }

    /// Part of the slack needed to get enough answers, as a share of the requests expected during
    /// the trial.
    fn slack_share(&self, total: &Counts, now: Timestamp) -> f64 {
        let elapsed = self.elapsed(now);
        if elapsed < TRAFFIC_MEASURING_TIME {
            return 0.0;
        }
        let elapsed_s = elapsed.as_secs_f64();
        let answers = total.present().answers + total.target().answers;
        let per_second = f64::from(answers) / elapsed_s;
        let trial_s = self.order.ramp.as_secs_f64() * TRIAL_SHARE;
        let requests = (per_second * trial_s).max(1.0);
        let missing = f64::from(MIN_ANSWERS) - requests * self.settings.used_share();
        let share = missing.clamp(0.0, self.settings.used_slack()) / requests;
        share.min(MAX_SLACK_SHARE)
    }

    fn exposure_at(&self, fleet: &Fleet, total: &Counts, now: Timestamp) -> Exposure {
        let all = |share| Exposure {
            share,
            window: self.exposure.window,
        };
        match self.stage {
            Stage::Trial => {
                let share = self.settings.used_share() + self.slack_share(total, now);
                Exposure::during_trial(share, fleet, self.elapsed(now))
            }
            Stage::Shifting => {
                let steps =
                    now.since(self.stage_since).as_secs_f64() / SHIFT_STEP_TIME.as_secs_f64();
                all(SHIFT_SHARES[(steps as usize).min(SHIFT_SHARES.len() - 1)])
            }
            Stage::Settling | Stage::Completed => all(1.0),
            Stage::RolledBack | Stage::Withdrawn => all(0.0),
        }
    }
}

/// Whether there are enough requests that a bad version could harm any.
fn has_traffic(total: &Counts) -> bool {
    total.present().answers >= MIN_PRESENT_ANSWERS
}

/// Whether the target version has given enough answers: in total, from enough engines, and on every
/// busy route.
fn has_enough_answers(total: &Counts, engines: usize) -> bool {
    let present = total.present();
    // With hardly any traffic, a bad version can harm hardly any requests.
    if !has_traffic(total) {
        return true;
    }
    let min_answers = MIN_ANSWERS.min(present.answers / 10);
    if total.target().answers < min_answers {
        return false;
    }
    let answers = total.target_by_engine();
    let seen = answers.filter(|answers| *answers >= MIN_ANSWERS_PER_ENGINE.min(min_answers));
    if seen.count() < Comparison::min_engines_for_rollback(engines) {
        return false;
    }
    let routes = total.iter().filter(|(key, _)| key.is_present());
    let mut busy = routes.filter(|(_, tally)| tally.answers >= BUSY_ROUTE_ANSWERS);
    busy.all(|(CountKey { route, .. }, tally)| {
        let share = f64::from(tally.answers) * MIN_SHARE_PER_ROUTE;
        let min_answers = MAX_ANSWERS_NEEDED_PER_ROUTE.min(share as u32);
        total.target_on(route).answers >= min_answers
    })
}

/// Whether the engines of the target version can serve all requests of the pool.
fn has_capacity_for_all(fleet: &Fleet) -> bool {
    fleet.target > 0 && fleet.target as f64 >= fleet.present as f64 * MIN_ENGINE_RATIO
}
