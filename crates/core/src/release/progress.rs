//! The stages of a release, as its director takes it through them.

use std::time::Duration;

use super::{
    Comparison, CountKey, Counts, Exposure, Fleet, Grant, Order, Rollback, Settings, Stage,
};
use crate::Timestamp;

/// Part of the ramp that the trial takes: a version may fail only after a while, and what is left is
/// enough for all requests to move and for those that run to end.
const TRIAL_SHARE: f64 = 0.6;
/// The trial goes on for so long after another director has taken it up, or after requests that had begun to
/// move went back: the target version then answered little or nothing of late, and what is known of it may be
/// out of date. That is what grants take to arrive, answers to come and news of them to be told.
const MIN_TRIAL_TIME: Duration = Duration::from_secs(2);
/// The pool's traffic is known roughly after so long: answers take some hundred milliseconds.
const TRAFFIC_MEASURING_TIME: Duration = Duration::from_secs(2);
/// In a pool with few requests the slack is a large part of what the target version may get, and without it
/// there would be too few answers to tell a bad version by. The slack adds at most this to the share of the
/// requests that the target version gets, so that it is spread over the trial.
const MAX_SLACK_SHARE: f64 = 0.15;
/// Shares of new requests, one after the other, before all go to the target version. Few: while they
/// last, a version that has become bad gets more than in the trial.
const SHIFT_SHARES: [f64; 2] = [0.3, 0.6];
/// Time at each share: what a grant takes to reach every node, and some answers after that.
const SHIFT_STEP_TIME: Duration = Duration::from_millis(700);
/// Answers of the target version without which it is not taken to do as well: of a version that fails one
/// request in ten, four are bad by then.
const MIN_ANSWERS: u32 = 40;
/// They must come from as many engines as it takes to convict a version, so many from each: what one of them
/// does wrong alone is held against none.
const MIN_ANSWERS_PER_ENGINE: u32 = 5;
/// With fewer answers of the present version there is no traffic to speak of.
const MIN_PRESENT_ANSWERS: u32 = 10;
/// On a route with so many answers of the present version ..
const BUSY_ROUTE_ANSWERS: u32 = 100;
/// .. so many of the target version are needed, or this share of those, if that is less.
const MAX_ANSWERS_NEEDED_PER_ROUTE: u32 = 10;
const MIN_SHARE_PER_ROUTE: f64 = 0.02;
/// Engines of the target version, for each of the present one, that can bear its requests.
const MIN_ENGINE_RATIO: f64 = 0.8;
/// The release is completed once nothing was seen to run at the present version's engines for so long: news
/// of what runs are up to a second old.
const IDLE_TIME: Duration = Duration::from_millis(1_200);
/// After so many ramps a version that was not seen to do as well is rolled back: engines that never came,
/// or that answer nothing.
const MAX_RAMPS: u32 = 3;

/// The stages of a release, as its director takes it through them.
#[derive(Debug, Clone)]
pub struct Progress {
    order: Order,
    settings: Settings,
    begun_at: Timestamp,
    stage: Stage,
    stage_since: Timestamp,
    comparison: Comparison,
    rollback: Option<Rollback>,
    idle_since: Option<Timestamp>,
    exposure: Exposure,
}

impl Progress {
    /// A release that begins.
    pub fn new(order: Order, settings: Settings, now: Timestamp) -> Self {
        Self {
            order,
            settings,
            begun_at: now,
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

    /// A release that another director has begun: `grant` was the last heard of it, `age` ago. Requests
    /// that had begun to move start again from the trial, which costs time and no caller anything.
    pub fn resume(grant: &Grant, age: Duration, settings: Settings, now: Timestamp) -> Self {
        let begun_at = now.before(age).before(grant.elapsed);
        let mut trial = Self::new(grant.order.clone(), settings, now);
        trial.begun_at = begun_at;
        if grant.stage.is_final() {
            trial.stage = grant.stage;
        }
        trial
    }

    /// Goes on with what a node held against the target version before it directs the release. Taken anew its
    /// answers would all be of one moment, like those of crashes, of which few count.
    pub fn with_comparison(self, comparison: Comparison, rollback: Option<Rollback>) -> Self {
        Self {
            comparison,
            rollback,
            ..self
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Why it was rolled back.
    pub fn rollback(&self) -> Option<&Rollback> {
        self.rollback.as_ref()
    }

    /// How long it has gone on.
    pub fn elapsed(&self, now: Timestamp) -> Duration {
        now.since(self.begun_at)
    }

    /// Takes the release on by what is known now; tells whether its stage has changed.
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

    /// The operator has taken the order back.
    pub fn withdraw(&mut self) {
        if !self.stage.is_final() {
            self.stage = Stage::Withdrawn;
            self.exposure.share = 0.0;
        }
    }

    /// What nodes may do until the next grant.
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
        }
    }

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
        // A node that is not heard may have requests there until they end by themselves.
        let has_timed_out = settled >= fleet.longest_request + self.settings.grant_lifetime();
        let is_idle_for_long = now.since(*idle_since) >= IDLE_TIME;
        // Nodes that have not heard of the last stage send nothing more once their grants have run out.
        let has_arrived = settled >= IDLE_TIME;
        match (is_idle_for_long && has_arrived) || has_timed_out {
            true => Stage::Completed,
            false => Stage::Settling,
        }
    }

    /// The part of the slack that is needed for enough answers, as a share of the requests that come during
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

/// Whether there are enough requests for a bad version to harm any.
fn has_traffic(total: &Counts) -> bool {
    total.present().answers >= MIN_PRESENT_ANSWERS
}

/// Whether the target version has answered enough: in all, from enough engines, and on every busy route.
fn has_enough_answers(total: &Counts, engines: usize) -> bool {
    let present = total.present();
    // Where there is hardly any traffic, a bad version can harm hardly any requests.
    if !has_traffic(total) {
        return true;
    }
    let least = MIN_ANSWERS.min(present.answers / 10);
    if total.target().answers < least {
        return false;
    }
    let answers = total.target_by_engine();
    let seen = answers.filter(|answers| *answers >= MIN_ANSWERS_PER_ENGINE.min(least));
    if seen.count() < Comparison::min_engines_for_rollback(engines) {
        return false;
    }
    let routes = total.iter().filter(|(key, _)| key.is_present());
    let mut busy = routes.filter(|(_, tally)| tally.answers >= BUSY_ROUTE_ANSWERS);
    busy.all(|(CountKey { route, .. }, tally)| {
        let share = f64::from(tally.answers) * MIN_SHARE_PER_ROUTE;
        let least = MAX_ANSWERS_NEEDED_PER_ROUTE.min(share as u32);
        total.target_on(route).answers >= least
    })
}

/// Whether the engines of the target version can take all requests of the pool.
fn has_capacity_for_all(fleet: &Fleet) -> bool {
    fleet.target > 0 && fleet.target as f64 >= fleet.present as f64 * MIN_ENGINE_RATIO
}
