//! The dispatcher: its state and the routing of events.
//!
//! Each step of request handling has its own submodule.

mod answers;
mod attempt_ends;
mod finishing;
mod placing;
mod queueing;
mod retries;
mod starting;
mod submission;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::catalog::BackEndState;
use crate::identity::{
    AttemptId, DataCentreName, NodeName, PoolName, RequestId, StageName, ZoneName,
};
use crate::limit::LimitSettings;
use crate::migration::{StageMeasurement, StageMeter};
use crate::placement::{
    CacheDirectory, DataCentreLatency, PoolIndex, PoolMember, PrefixRequestRates, Retention,
};
use crate::retry::RetryBudget;
use crate::timestamp::Timestamp;

use super::attempt_record::AttemptRecord;
use super::engine_table::EngineTable;
use super::exported_prefixes::ExportedPrefixes;
use super::pool_state::PoolState;
use super::request_record::RequestRecord;
use super::tenant_limiter::TenantLimiter;
use super::{DispatchAction, DispatchEvent, DispatchParameters, RoutingSnapshot};

/// Decides which back end serves each request of one router process, and when.
///
/// Invariants:
/// - Every submitted request gets exactly one [`DispatchAction::Finish`].
/// - A request that may run at most once is retried only if every ended attempt certainly did not
///   run.
/// - An attempt id is never used twice.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneName,
    seed: u64,
    parameters: DispatchParameters,
    attempts_started: u64,
    snapshot: Arc<RoutingSnapshot>,
    requests: BTreeMap<RequestId, RequestRecord>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    engines: EngineTable,
    pools: BTreeMap<PoolName, PoolState>,
    /// Queued requests, ordered by the time at which they expire.
    queue_expiries: BTreeSet<(Timestamp, RequestId)>,
    prefix_rates: PrefixRequestRates,
    cache_directory: CacheDirectory,
    exported_prefixes: ExportedPrefixes,
    data_centre_latencies: DataCentreLatency,
    retry_budget: RetryBudget,
    first_request_at: Option<Timestamp>,
    /// `None` while tenant limits are not enforced.
    tenant_limiter: Option<TenantLimiter>,
    stage_meter: StageMeter,
}

impl Dispatcher {
    /// Creates the dispatcher of a process in `zone` of `data_centre`. `seed` must be drawn at
    /// random at every start of a process, so that no two processes ever create the same attempt
    /// id.
    pub fn new(data_centre: DataCentreName, zone: ZoneName, seed: u64) -> Self {
        Self::with_parameters(data_centre, zone, seed, DispatchParameters::default())
    }

    /// Creates a dispatcher with the given parameters instead of the defaults; see [`Self::new`].
    pub fn with_parameters(
        data_centre: DataCentreName,
        zone: ZoneName,
        seed: u64,
        parameters: DispatchParameters,
    ) -> Self {
        let generation_size = parameters.prefixes_per_generation;
        Self {
            data_centre_latencies: DataCentreLatency::new(
                data_centre,
                parameters.data_centre_latency,
            ),
            zone,
            seed,
            attempts_started: 0,
            snapshot: Arc::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            engines: EngineTable::default(),
            pools: BTreeMap::new(),
            queue_expiries: BTreeSet::new(),
            prefix_rates: PrefixRequestRates::new(
                generation_size,
                parameters.request_rate_time_constant,
            ),
            cache_directory: CacheDirectory::new(generation_size),
            exported_prefixes: ExportedPrefixes::new(
                generation_size,
                parameters.kv_store_retention,
            ),
            retry_budget: RetryBudget::new(Timestamp::ZERO),
            first_request_at: None,
            tenant_limiter: None,
            stage_meter: StageMeter::default(),
            parameters,
        }
    }

    /// Enforces tenant limits from now on. `node` is this process, which started at `started_at`.
    pub fn limit_tenants(
        &mut self,
        node: NodeName,
        started_at: Timestamp,
        settings: LimitSettings,
    ) {
        let mut limiter = TenantLimiter::new(node, started_at, settings);
        limiter.adopt(Arc::clone(&self.snapshot.catalog));
        self.tenant_limiter = Some(limiter);
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        event: DispatchEvent,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let before = actions.len();
        self.measure_event(&event, now);
        self.handle_event(event, now, actions);
        self.measure_actions(&actions[before..]);
        if let Some(limiter) = &mut self.tenant_limiter {
            limiter.record_finished(&actions[before..]);
        }
    }

    /// Returns the measurement of a migration stage since the previous call.
    pub fn take_measurement(&mut self, stage: &StageName) -> Option<StageMeasurement> {
        self.stage_meter.take(stage)
    }

    fn measure_event(&mut self, event: &DispatchEvent, now: Timestamp) {
        match event {
            DispatchEvent::Submitted(profile) => self.stage_meter.submitted(profile),
            DispatchEvent::FirstToken { attempt } => self.stage_meter.first_token(*attempt, now),
            DispatchEvent::AttemptEnded {
                attempt,
                outcome,
                observation,
            } => self
                .stage_meter
                .ended(*attempt, *outcome, observation.as_ref()),
            DispatchEvent::SnapshotPublished(snapshot) => {
                self.stage_meter.adopt(Arc::clone(&snapshot.catalog));
            }
            _ => {}
        }
    }

    fn measure_actions(&mut self, actions: &[DispatchAction]) {
        for action in actions {
            match action {
                DispatchAction::Start {
                    request,
                    assignment,
                } => self.stage_meter.started(request, assignment),
                DispatchAction::Finish { request, .. } => self.stage_meter.finished(request),
                DispatchAction::Cancel { .. } | DispatchAction::SendLimit(_) => {}
            }
        }
    }

    fn handle_event(
        &mut self,
        event: DispatchEvent,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        match event {
            DispatchEvent::Submitted(profile) => self.admit(*profile, now, actions),
            DispatchEvent::AnswerStarted {
                attempt,
                observation,
            } => self.record_answer(attempt, &observation, now),
            DispatchEvent::FirstToken { attempt } => self.record_first_token(attempt, now),
            DispatchEvent::AttemptEnded {
                attempt,
                outcome,
                observation,
            } => self.end_attempt(attempt, outcome, observation, now, actions),
            DispatchEvent::CallerDisconnected { request } => self.cancel(request, now, actions),
            DispatchEvent::LoadReported {
                back_end,
                observation,
            } => self.record_load_report(&back_end, &observation, now),
            DispatchEvent::SnapshotPublished(snapshot) => {
                self.apply_snapshot(snapshot, now);
                self.serve_all_queues(now, actions);
            }
            DispatchEvent::LimitGranted { from, grant } => {
                let admitted = self
                    .tenant_limiter
                    .as_mut()
                    .map(|limiter| limiter.receive(&from, &grant, now, actions));
                self.submit_all(admitted.unwrap_or_default(), now, actions);
            }
            DispatchEvent::Tick => {
                let admitted = self
                    .tenant_limiter
                    .as_mut()
                    .map(|limiter| limiter.tick(now, actions));
                self.submit_all(admitted.unwrap_or_default(), now, actions);
                self.refuse_expired(now, actions);
                self.serve_all_queues(now, actions);
            }
        }
    }

    fn apply_snapshot(&mut self, snapshot: Arc<RoutingSnapshot>, now: Timestamp) {
        if let Some(limiter) = &mut self.tenant_limiter {
            limiter.adopt(Arc::clone(&snapshot.catalog));
        }
        let catalog = &snapshot.catalog;
        self.engines.retain(catalog);
        for name in catalog.pools.keys() {
            let parameters = &self.parameters;
            self.pools
                .entry(name.clone())
                .or_insert_with(|| PoolState::new(parameters, now));
        }
        // A deleted pool is retained without back ends until its last request has ended.
        let in_use: BTreeSet<_> = self
            .requests
            .values()
            .map(|record| &record.profile.pool)
            .collect();
        self.pools
            .retain(|name, _| catalog.pools.contains_key(name) || in_use.contains(name));
        let mut members: BTreeMap<&PoolName, Vec<PoolMember>> = BTreeMap::new();
        let retention = Retention::new(self.parameters.retention);
        for back_end in catalog.back_ends.values() {
            let key = self.engines.key_or_insert(back_end, retention);
            let takes_work = back_end.state == BackEndState::Active
                && !snapshot.leaving.contains(&back_end.name);
            if takes_work {
                let pool_members = members.entry(&back_end.pool).or_default();
                pool_members.push(PoolMember::new(key, back_end));
            }
        }
        for (name, pool) in &mut self.pools {
            pool.index = PoolIndex::new(members.remove(name).unwrap_or_default());
        }
        self.snapshot = snapshot;
    }
}
