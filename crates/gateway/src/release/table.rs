//! The releases known to a node.

use std::collections::{BTreeMap, BTreeSet};

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{
    CountKey, EngineKey, Grant, Judgement, PRESENT, RejectedVersions, SoftwareVersion, Stage,
    key_of,
};

use super::{AnswerTiming, KnownRelease, TypicalTimes};

/// The releases known to a node: the newest of each pool.
#[derive(Debug, Default)]
pub struct Table {
    releases: BTreeMap<PoolName, KnownRelease>,
    /// Whether all orders are known, from the source or from a node that knew them. If so, a pool without a release
    /// has no order.
    pub knows_orders: bool,
    /// When a request first waited for the orders; `None` if none has.
    pub awaited_since: Option<Timestamp>,
    /// Whether requests go on without the orders, after they have waited for too long.
    pub is_given_up: bool,
    /// Typical durations of the present versions' answers.
    pub typical_times: TypicalTimes,
    /// Pools whose grant starts another stage, so that it is to be sent to every node at once.
    pub urgent: BTreeSet<PoolName>,
    /// Versions that each pool's requests may be sent to without a valid grant, as of the last check.
    pub open_versions: BTreeMap<PoolName, BTreeSet<SoftwareVersion>>,
}

impl Table {
    /// Applies a grant that the director issued at `granted_at` at the latest; returns `false` if it does not supersede
    /// the known grant of the pool.
    pub fn apply(&mut self, grant: Grant, granted_at: Timestamp, now: Timestamp) -> bool {
        let pool = grant.order.pool.clone();
        let Some(known) = self.releases.get_mut(&pool) else {
            let known = KnownRelease::new(grant, granted_at, now);
            self.releases.insert(pool, known);
            return true;
        };
        if known.grant == grant {
            // The same grant arrived by two paths. The ages in the messages do not include the time in transit, so the
            // earlier of the two times is more accurate.
            known.granted_at = known.granted_at.min(granted_at);
        }
        if known.grant.order == grant.order {
            known.rejected.merge(&grant.rejected);
        }
        if !grant.supersedes(&known.grant) {
            return false;
        }
        if known.grant.order != grant.order {
            let rejected = rejected_versions(known, &grant);
            *known = KnownRelease::new(grant, granted_at, now);
            known.rejected = rejected;
            return true;
        }
        if known.grant.stage != grant.stage {
            known.stage_since = now;
        }
        known.grant = grant;
        known.granted_at = granted_at;
        true
    }

    /// The release of a pool.
    pub fn of(&self, pool: &PoolName) -> Option<&KnownRelease> {
        self.releases.get(pool)
    }

    /// The release of a pool, mutably.
    pub fn of_mut(&mut self, pool: &PoolName) -> Option<&mut KnownRelease> {
        self.releases.get_mut(pool)
    }

    /// All releases, ordered by pool.
    pub fn iter(&self) -> impl Iterator<Item = &KnownRelease> {
        self.releases.values()
    }

    /// All releases, mutably, ordered by pool.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut KnownRelease> {
        self.releases.values_mut()
    }

    /// Removes releases that have ended and for which `is_over` returns `true`.
    pub fn remove_ended(&mut self, is_over: impl Fn(&KnownRelease) -> bool) {
        self.releases
            .retain(|_, known| !known.is_final() || !is_over(known));
    }

    /// Counts an answer in the release of its pool, unless that release has ended.
    pub fn record_answer(&mut self, timing: &AnswerTiming, judgement: Judgement) {
        let known = self.releases.get_mut(&timing.pool);
        let Some(known) = known.filter(|known| !known.is_final()) else {
            return;
        };
        let engine: EngineKey = match timing.software == known.grant.order.target {
            true => key_of(timing.engine.as_str()),
            false => PRESENT,
        };
        let cell = CountKey {
            route: timing.route,
            engine,
        };
        known.evidence.note(cell, judgement);
    }

    /// Whether a version is a present one of its pool, so that its answers count towards the typical times. All versions
    /// are present except the target version of a release that is not completed.
    pub fn is_present(&self, pool: &PoolName, software: &str) -> bool {
        self.releases.get(pool).is_none_or(|known| {
            let grant = &known.grant;
            grant.order.target != software || grant.stage == Stage::Completed
        })
    }
}

/// The versions that stay rejected when the order of `grant` replaces the `former` one.
fn rejected_versions(former: &KnownRelease, grant: &Grant) -> RejectedVersions {
    let mut rejected = former.rejected.clone();
    rejected.merge(&grant.rejected);
    // A version that was still under trial is not known to be good, so it is rejected like one whose order was
    // withdrawn.
    let is_under_trial = matches!(former.grant.stage, Stage::Trial | Stage::Shifting);
    if former.is_rejected() || is_under_trial {
        rejected.insert(former.grant.order.target.clone());
    }
    rejected.remove(&grant.order.target);
    rejected
}
