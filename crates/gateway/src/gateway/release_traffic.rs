//! Determines which engines take which requests during a release, and judges their responses; see
//! docs/design/releases.md.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_core::release::{Settings, SoftwareVersion, Stage, key_of};
use slog::{debug, info, warn};

use super::version_records::without_unsettled;
use super::{Gateway, GatewayState};
use crate::continuation::SoftwareConstraint;
use crate::engines::EngineTable;
use crate::placement::Placement;
use crate::release::{
    Admission, AdmissionPolicy, AnswerEnd, AnswerTiming, EngineFilter, KnownRelease, ListedVersions,
};
use crate::serve::AcceptedRequest;

/// Engines of other versions that are listed within this time after the completion of a release
/// count as replaced by it: a node that has just started learns of the release before it has read
/// the engine list.
const REPLACED_VERSION_WINDOW: Duration = Duration::from_secs(3);
/// How long a finished release without further effect is kept, since updates about it may still be
/// in transit for some seconds.
const FINISHED_RELEASE_RETENTION: Duration = Duration::from_secs(60);

impl Gateway {
    /// The engines that may take a request which has already been sent to those in `tried`.
    pub(crate) fn admission(
        &self,
        pool: &PoolName,
        id: &str,
        tried: &[BackEndName],
        software: &SoftwareConstraint,
    ) -> Admission {
        let now = self.clock().now();
        let state = self.state();
        let admission = match (&self.settings().releases, software) {
            (None, SoftwareConstraint::Any | SoftwareConstraint::Settled) => {
                Admission::to(EngineFilter::Any)
            }
            (None, SoftwareConstraint::Only(software)) => {
                Admission::to(EngineFilter::Version(software.clone()))
            }
            (Some(settings), SoftwareConstraint::Any | SoftwareConstraint::Settled) => {
                self.gate(&state, settings, now).admission(pool, id, tried)
            }
            (Some(settings), SoftwareConstraint::Only(software)) => {
                let gate = self.gate(&state, settings, now);
                gate.admission_to_version(pool, software)
            }
        };
        match software {
            SoftwareConstraint::Settled => without_unsettled(&state, pool, admission, now),
            SoftwareConstraint::Any | SoftwareConstraint::Only(_) => admission,
        }
    }

    /// The engines that make up a pool's capacity: all but those of versions that get none or few of
    /// its requests, such as the target version during a trial.
    pub(super) fn pool_filter(
        &self,
        state: &GatewayState,
        pool: &PoolName,
        now: Timestamp,
    ) -> EngineFilter {
        let Some(settings) = &self.settings().releases else {
            return EngineFilter::Any;
        };
        EngineFilter::except(self.gate(state, settings, now).idle_versions(pool))
    }

    fn gate<'a>(
        &self,
        state: &'a GatewayState,
        settings: &'a Settings,
        now: Timestamp,
    ) -> AdmissionPolicy<'a> {
        AdmissionPolicy {
            settings,
            table: &state.releases,
            engines: &state.engines,
            nodes: state.peers.known_count() + 1,
            uptime: self.uptime(),
            now,
        }
    }

    /// Counts a request that is sent to an engine, for the first time or again.
    pub fn note_sent(&self, pool: &PoolName, placement: &Placement, is_first: bool) {
        if self.settings().releases.is_none() {
            return;
        }
        let mut state = self.state_mut();
        let state = &mut *state;
        let known = state.releases.of_mut(pool);
        let Some(known) = known.filter(|known| !known.is_final()) else {
            return;
        };
        if is_first {
            known.budget.count();
        }
        let engine = state.engines.get(&placement.engine);
        let target = &known.grant.order.target;
        let is_target = engine.is_some_and(|engine| engine.entry.software == *target);
        let version = match is_target {
            true => {
                known.budget.count_target();
                "target"
            }
            false => "present",
        };
        let requests = &self.metrics().release_requests;
        requests.with_label_values(&[pool.as_str(), version]).inc();
    }

    /// Starts timing the response to a request that is sent now.
    pub(crate) fn start_answer_timing(
        &self,
        request: &AcceptedRequest,
        placement: &Placement,
    ) -> Option<AnswerTiming> {
        self.settings().releases.as_ref()?;
        let now = self.clock().now();
        let state = self.state();
        let engine = state.engines.get(&placement.engine)?;
        Some(AnswerTiming {
            pool: request.pool.clone(),
            route: key_of(&request.route.name),
            engine: placement.engine.clone(),
            software: engine.entry.software.clone(),
            is_cold: engine.is_cold(now),
            is_stream: request.is_stream(),
            unread_tokens: placement.unread_tokens,
            sent_at: now,
            first_event_at: None,
            events: 0,
            waited: Duration::ZERO,
            waiting_since: None,
        })
    }

    /// Judges a finished response. A response of the present version, which the release is to
    /// replace, also updates the expected response times.
    pub fn note_release_answer(&self, timing: &AnswerTiming, end: AnswerEnd) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let has_crashed = self.has_crashed(&state, &timing.engine, now);
        let end = match end {
            // A crash of an engine ends all its runs. Counted one by one, these would outweigh the
            // actual faults of a version.
            AnswerEnd::Failed if has_crashed => AnswerEnd::NotRun,
            end => end,
        };
        let releases = &mut state.releases;
        let judgement = timing.judge(end, &releases.typical_times, now);
        if releases.is_present(&timing.pool, &timing.software) {
            timing.update_typical_times(end, &mut releases.typical_times, now);
        }
        let Some(judgement) = judgement else {
            return;
        };
        releases.record_answer(timing, judgement);
        let known = releases.of(&timing.pool);
        let is_bad = judgement != ryerouter_core::release::Judgement::Good;
        if !is_bad || known.is_none_or(KnownRelease::is_final) {
            return;
        }
        if let Some(left_out) = self.release_sampler().admit(now) {
            info!(self.log(), "release_answer_bad"; "pool" => %timing.pool,
                "engine" => %timing.engine, "software" => &timing.software,
                "judgement" => ?judgement, "end" => ?end, "events" => timing.events,
                "after_ms" => now.since(timing.sent_at).as_millis() as u64,
                "left_out" => left_out);
        }
    }

    /// Judges releases by the counts of all nodes, and determines which versions are in use.
    pub fn refresh_releases(&self) {
        let Some(settings) = &self.settings().releases else {
            return;
        };
        let now = self.clock().now();
        let mut state = self.state_mut();
        let state = &mut *state;
        let is_large = state.peers.is_large();
        for known in state.releases.iter_mut() {
            note_replaced(known, &state.engines, now);
            self.judge(known, &state.engines, is_large, now);
        }
        let table = state.table.clone();
        let engines = &state.engines;
        state.releases.remove_ended(|known| {
            let pool = &known.grant.order.pool;
            let has_pool = table
                .as_ref()
                .is_none_or(|table| table.pool(pool).is_some());
            let is_old = now.since(known.stage_since) >= FINISHED_RELEASE_RETENTION;
            is_old && (!has_pool || is_obsolete(known, engines))
        });
        let open_versions = self.open_versions(state, settings, now);
        self.log_new_versions(state, open_versions);
    }

    fn judge(
        &self,
        known: &mut KnownRelease,
        engines: &EngineTable,
        is_large: bool,
        now: Timestamp,
    ) {
        if known.is_final() {
            return;
        }
        let order = known.grant.order.clone();
        let of_pool = engines.of_pool(&order.pool);
        let of_target = of_pool.filter(|engine| engine.entry.software == order.target);
        let able = of_target.filter(|engine| engine.takes_work(now)).count();
        let total = known.total(is_large);
        let sent = known.budget;
        if known.resume_trial() {
            info!(self.log(), "release_goes_on_here"; "pool" => %order.pool,
                "target" => &order.target, "sent_here" => sent.target(), "of" => sent.all());
        }
        if let Some(why) = known.observe(&total, able, now) {
            warn!(self.log(), "release_stopped_here"; "pool" => %order.pool,
                "target" => &order.target, "why" => %why, "sent_here" => sent.target(),
                "of" => sent.all());
        }
    }

    /// Versions that requests of each pool may go to.
    fn open_versions(
        &self,
        state: &GatewayState,
        settings: &Settings,
        now: Timestamp,
    ) -> BTreeMap<PoolName, BTreeSet<SoftwareVersion>> {
        let gate = self.gate(state, settings, now);
        let mut open_versions: BTreeMap<PoolName, BTreeSet<SoftwareVersion>> = BTreeMap::new();
        let pools: BTreeSet<&PoolName> = state.engines.iter().map(|e| &e.entry.pool).collect();
        for pool in pools {
            let open = gate.open_versions(pool);
            open_versions.insert(pool.clone(), open);
        }
        open_versions
    }

    /// Logs versions that were not ordered and that take requests from now on.
    fn log_new_versions(
        &self,
        state: &mut GatewayState,
        open_versions: BTreeMap<PoolName, BTreeSet<SoftwareVersion>>,
    ) {
        for (pool, versions) in &open_versions {
            let Some(before) = state.releases.open_versions.get(pool) else {
                continue;
            };
            let known = state.releases.of(pool);
            let target = known.map(|known| &known.grant.order.target);
            let is_unordered = |version: &&SoftwareVersion| Some(*version) != target;
            for version in versions.difference(before).filter(is_unordered) {
                info!(self.log(), "software_unordered"; "pool" => %pool, "software" => version,
                    "in_use_before" => ?before, "knows_orders" => state.releases.knows_orders);
            }
        }
        if state.releases.open_versions != open_versions {
            debug!(self.log(), "software_in_use"; "versions" => ?open_versions);
        }
        state.releases.open_versions = open_versions;
    }
}

/// Whether a release was completed but its version has no engines left, because others have
/// replaced them without an order.
pub(super) fn is_obsolete(known: &KnownRelease, engines: &EngineTable) -> bool {
    let order = &known.grant.order;
    let mut of_pool = engines.of_pool(&order.pool);
    let has_target = of_pool.any(|engine| engine.entry.software == order.target);
    known.grant.stage == Stage::Completed && !has_target
}

/// Records that a release which has just finished has replaced all other listed versions.
pub(super) fn note_all_replaced(known: &mut KnownRelease, engines: &EngineTable) {
    let order = &known.grant.order;
    let versions = ListedVersions::of(engines, &order.pool);
    let others = versions.all_except(&order.target).cloned();
    known.replaced.extend(others.collect::<Vec<_>>());
}

/// Records the versions that a completed release has replaced. Versions whose engines all started
/// after those of the target version are left out: a node that learns of the release long after its
/// end may see a later replacement.
pub(super) fn note_replaced(known: &mut KnownRelease, engines: &EngineTable, now: Timestamp) {
    let grant = &known.grant;
    let is_fresh = now.since(known.stage_since) < REPLACED_VERSION_WINDOW;
    if grant.stage != Stage::Completed || !is_fresh {
        return;
    }
    let versions = ListedVersions::of(engines, &grant.order.pool);
    let of_pool = engines.of_pool(&grant.order.pool);
    let ready = of_pool.filter(|engine| engine.is_in_service());
    let target = &grant.order.target;
    let replaced = ready.map(|engine| &engine.entry.software);
    let replaced = replaced.filter(|version| *version != target);
    let replaced = replaced.filter(|version| !versions.is_newer(version, target));
    known.replaced.extend(replaced.cloned());
}
