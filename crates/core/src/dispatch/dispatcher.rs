//! The dispatcher.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::admission::QueuedRequest;
use crate::catalog::{BackEndState, PoolKind};
use crate::identity::{
    AttemptId, BackEndName, DataCentreName, NodeName, PoolName, RequestId, StageName, ZoneName,
};
use crate::limit::LimitSettings;
use crate::migration::{StageMeasurement, StageMeter};
use crate::placement::{
    CacheKnowledge, EngineKey, PoolIndex, PoolMember, PrefixHeat, PrefixWidth, Retention,
    SiteDistance, preferred_data_centre,
};
use crate::retry::RetryBudget;
use crate::timestamp::Timestamp;

use super::attempt_record::AttemptRecord;
use super::choice::{Blocked, Choice};
use super::engine_chooser::EngineChooser;
use super::engine_table::EngineTable;
use super::kept_prefixes::KeptPrefixes;
use super::pool_state::PoolState;
use super::request_record::RequestRecord;
use super::tenant_gate::TenantGate;
use super::{
    Assignment, AttemptOutcome, DispatchAction, DispatchEvent, DispatchParameters,
    EngineObservation, FinalOutcome, NotRunReason, Priority, Refusal, RefusalReason,
    RequestProfile, ResumePoint, RoutingSnapshot, RunState,
};

/// Fewest prompt tokens that an attempt must have computed to tell the prefill speed.
const SPEED_SAMPLE_TOKENS: u32 = 1_000;

/// Share of the expected tokens that must have been cached for the expectation to hold.
const FOUND_SHARE: f64 = 0.9;

/// How long a begun stream waits for a back end that can carry it on. It is only reached when
/// none comes back that serves its weights.
const CONTINUATION_PATIENCE: Duration = Duration::from_secs(120);

/// Decides for every request of one router process which back end serves it, and when.
///
/// Invariants: every submitted request gets exactly one [`DispatchAction::Finish`]; a request that
/// may run at most once is started again only while every ended attempt certainly did not run; an
/// attempt number is never used twice.
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
    /// Queued requests by the time at which they are given up.
    give_up_times: BTreeSet<(Timestamp, RequestId)>,
    heat: PrefixHeat,
    knowledge: CacheKnowledge,
    kept: KeptPrefixes,
    distances: SiteDistance,
    retry_budget: RetryBudget,
    first_request_at: Option<Timestamp>,
    /// `None` while limits of tenants are not enforced.
    tenant_gate: Option<TenantGate>,
    stage_meter: StageMeter,
}

impl Dispatcher {
    /// A dispatcher of a process in `zone` of `data_centre`; `seed` must be drawn at random at
    /// every start of a process, so that no two processes ever give the same attempt number.
    pub fn new(data_centre: DataCentreName, zone: ZoneName, seed: u64) -> Self {
        Self::with_parameters(data_centre, zone, seed, DispatchParameters::default())
    }

    /// A dispatcher with other than the usual parameters.
    pub fn with_parameters(
        data_centre: DataCentreName,
        zone: ZoneName,
        seed: u64,
        parameters: DispatchParameters,
    ) -> Self {
        let remembered = parameters.remembered_prefixes;
        Self {
            distances: SiteDistance::new(data_centre, parameters.data_centre_distance),
            zone,
            seed,
            attempts_started: 0,
            snapshot: Arc::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            engines: EngineTable::default(),
            pools: BTreeMap::new(),
            give_up_times: BTreeSet::new(),
            heat: PrefixHeat::new(remembered, parameters.heat_time_constant),
            knowledge: CacheKnowledge::new(remembered),
            kept: KeptPrefixes::new(remembered, parameters.kv_store_retention),
            retry_budget: RetryBudget::new(Timestamp::ZERO),
            first_request_at: None,
            tenant_gate: None,
            stage_meter: StageMeter::default(),
            parameters,
        }
    }

    /// Enforces limits of tenants from now on; `node` is the process, which started at
    /// `started_at`.
    pub fn limit_tenants(
        &mut self,
        node: NodeName,
        started_at: Timestamp,
        settings: LimitSettings,
    ) {
        let mut gate = TenantGate::new(node, started_at, settings);
        gate.adopt(Arc::clone(&self.snapshot.catalog));
        self.tenant_gate = Some(gate);
    }

    /// Takes an event and appends what must be done to `actions`.
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
        if let Some(gate) = &mut self.tenant_gate {
            gate.note_finished(&actions[before..]);
        }
    }

    /// Takes what was measured of a migration stage since the last time.
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
            } => self.note_answer(attempt, &observation, now),
            DispatchEvent::FirstToken { attempt } => self.note_first_token(attempt, now),
            DispatchEvent::AttemptEnded {
                attempt,
                outcome,
                observation,
            } => self.end_attempt(attempt, outcome, observation, now, actions),
            DispatchEvent::CallerLeft { request } => self.cancel(request, now, actions),
            DispatchEvent::LoadReported {
                back_end,
                observation,
            } => self.note_report(&back_end, &observation, now),
            DispatchEvent::SnapshotPublished(snapshot) => {
                self.publish(snapshot, now);
                self.serve_all_queues(now, actions);
            }
            DispatchEvent::LimitGranted { from, grant } => {
                let admitted = self
                    .tenant_gate
                    .as_mut()
                    .map(|gate| gate.receive(&from, &grant, now, actions));
                self.submit_all(admitted.unwrap_or_default(), now, actions);
            }
            DispatchEvent::Tick => {
                let admitted = self
                    .tenant_gate
                    .as_mut()
                    .map(|gate| gate.tick(now, actions));
                self.submit_all(admitted.unwrap_or_default(), now, actions);
                self.give_up_overdue(now, actions);
                self.serve_all_queues(now, actions);
            }
        }
    }

    fn publish(&mut self, snapshot: Arc<RoutingSnapshot>, now: Timestamp) {
        if let Some(gate) = &mut self.tenant_gate {
            gate.adopt(Arc::clone(&snapshot.catalog));
        }
        let catalog = &snapshot.catalog;
        self.engines.retain(catalog);
        for name in catalog.pools.keys() {
            let parameters = &self.parameters;
            self.pools
                .entry(name.clone())
                .or_insert_with(|| PoolState::new(parameters, now));
        }
        // A deleted pool stays, without back ends, until its last request has ended.
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
            let key = self.engines.key_of(back_end, retention);
            let takes_work = back_end.state == BackEndState::Active
                && !snapshot.leaving.contains(&back_end.name);
            if takes_work {
                let of_pool = members.entry(&back_end.pool).or_default();
                of_pool.push(PoolMember::new(key, back_end));
            }
        }
        for (name, pool) in &mut self.pools {
            pool.index = PoolIndex::new(members.remove(name).unwrap_or_default());
        }
        self.snapshot = snapshot;
    }

    fn admit(
        &mut self,
        profile: RequestProfile,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let admitted = match &mut self.tenant_gate {
            Some(gate) => gate.admit(profile, now, actions),
            None => Some(profile),
        };
        self.submit_all(admitted, now, actions);
    }

    fn submit_all(
        &mut self,
        profiles: impl IntoIterator<Item = RequestProfile>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        for profile in profiles {
            self.submit(profile, now, actions);
        }
    }

    fn submit(
        &mut self,
        profile: RequestProfile,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let request = profile.request.clone();
        if self.requests.contains_key(&request) {
            actions.push(refuse_unseen(request, RefusalReason::Rejected));
            return;
        }
        let Some(pool) = self.snapshot.catalog.pools.get(&profile.pool) else {
            actions.push(refuse_unseen(request, RefusalReason::NoSuchPool));
            return;
        };
        let weights_version = match pool.kind {
            PoolKind::Model {
                weights_version, ..
            } => profile.prefix.weights_version.or(Some(weights_version)),
            PoolKind::Service => None,
        };
        self.first_request_at.get_or_insert(now);
        let mut record = RequestRecord::new(profile, weights_version);
        self.note_heat(&mut record, now);
        let must_wait = self.pools[&record.profile.pool]
            .queue
            .holds_back(record.profile.priority);
        self.requests.insert(request.clone(), record);
        if must_wait {
            self.enqueue(request, Duration::ZERO, now, actions);
        } else {
            self.place(request, now, actions);
        }
    }

    /// Counts the request for its prefixes and derives over how many engines each is spread.
    fn note_heat(&mut self, record: &mut RequestRecord, now: Timestamp) {
        let pool = &self.pools[&record.profile.pool];
        let is_warm = self
            .first_request_at
            .is_some_and(|first| now.since(first) >= self.parameters.warm_up);
        let shared = record.points.shared();
        record.is_recurring = shared
            .last()
            .is_some_and(|point| self.heat.knows(point.hash));
        for point in shared {
            self.heat.count(point.hash, now);
        }
        if !self.parameters.mechanisms.prefix_widths {
            return;
        }
        record.widths = shared
            .iter()
            .map(|point| {
                if !is_warm {
                    return PrefixWidth::unlimited(point.hash);
                }
                let concurrency = pool.concurrency(self.heat.per_second(point.hash, now));
                let per_engine = self.parameters.requests_per_engine;
                PrefixWidth::for_concurrency(point.hash, concurrency, per_engine)
            })
            .collect();
    }

    /// Starts an attempt on the best engine, queues the request, or refuses it.
    fn place(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        match self.choose(&request, now) {
            Ok(choice) => self.start_unless_late(request, choice, now, actions),
            Err(Blocked::NoRoom { first_token_in }) => {
                self.enqueue(request, first_token_in, now, actions);
            }
            Err(Blocked::Unavailable { until }) => {
                let wait = until.since(now);
                if wait <= self.parameters.unavailable_patience {
                    self.enqueue(request, wait, now, actions);
                } else {
                    self.refuse(request, RefusalReason::NoBackEnd, wait, actions);
                }
            }
            Err(Blocked::None) => self.refuse_without_engine(request, actions),
        }
    }

    fn refuse_without_engine(&mut self, request: RequestId, actions: &mut Vec<DispatchAction>) {
        let reason = if self.requests[&request].attempts_made > 0 {
            RefusalReason::AttemptsExhausted
        } else {
            RefusalReason::NoBackEnd
        };
        let retry_after = self.parameters.no_back_end_retry_after;
        self.refuse(request, reason, retry_after, actions);
    }

    fn start_unless_late(
        &mut self,
        request: RequestId,
        choice: Choice,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let certain_wait = choice
            .first_token_in
            .mul_f64(self.parameters.deadline_certainty);
        let deadline = self.requests[&request].first_token_deadline();
        if deadline.is_some_and(|deadline| now.after(certain_wait) > deadline) {
            let retry_after = choice.first_token_in;
            self.refuse(request, RefusalReason::Deadline, retry_after, actions);
            return;
        }
        let resume = self.requests[&request].continuation();
        self.start(request, choice, resume, now, actions);
    }

    fn choose(&self, request: &RequestId, now: Timestamp) -> Result<Choice, Blocked> {
        let record = &self.requests[request];
        let pool = &self.pools[&record.profile.pool];
        let configured = self.snapshot.catalog.pools.get(&record.profile.pool);
        let kv_store = configured.and_then(|pool| pool.kv_store);
        let chooser = EngineChooser {
            parameters: &self.parameters,
            engines: &self.engines,
            pool,
            knowledge: &self.knowledge,
            kept: &self.kept,
            kv_store: kv_store.filter(|_| self.parameters.mechanisms.kv_store),
            distances: &self.distances,
            zone: &self.zone,
            now,
        };
        let priority = self.effective_priority(record, now);
        chooser.choose(record, priority, &self.data_centres(record))
    }

    /// Batch work that has begun or waited long is treated as interactive, so that it never starves.
    fn effective_priority(&self, record: &RequestRecord, now: Timestamp) -> Priority {
        if record.has_begun() {
            return Priority::Interactive;
        }
        let promotion = self.parameters.queue.batch_promotion;
        let has_waited = |queued_at: Timestamp| now.since(queued_at) >= promotion;
        if record.queued_at.is_some_and(has_waited) {
            Priority::Interactive
        } else {
            record.profile.priority
        }
    }

    /// Groups of data centres to try, in order. Where a migration stage decides, its choice comes
    /// first and all others only when that has no engine with room; elsewhere the near ones count
    /// as one, because a cached prefix is worth more than a short way.
    fn data_centres(&self, record: &RequestRecord) -> [Vec<DataCentreName>; 2] {
        let profile = &record.profile;
        let staged = preferred_data_centre(
            &self.snapshot.catalog,
            &profile.pool,
            &profile.tenant,
            &profile.prefix,
            profile.request.as_str(),
        );
        let comes_first = |name: &&DataCentreName| match staged {
            Some(staged) => *name == staged.first,
            None => self.distances.to(name) <= self.parameters.near_data_centre,
        };
        let index = &self.pools[&profile.pool].index;
        let excluded = staged.and_then(|staged| staged.excluded);
        let (first, others): (Vec<_>, Vec<_>) = index
            .data_centres()
            .filter(|name| Some(*name) != excluded)
            .partition(comes_first);
        [first, others].map(|group| group.into_iter().cloned().collect())
    }

    fn enqueue(
        &mut self,
        request: RequestId,
        first_token_in: Duration,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let certain_wait = first_token_in.mul_f64(self.parameters.deadline_certainty);
        let record = self.requests.get_mut(&request).expect("request is known");
        let last_start = record
            .first_token_deadline()
            .map(|deadline| deadline.before(certain_wait));
        if last_start.is_some_and(|last_start| last_start < now) {
            self.refuse(request, RefusalReason::Deadline, first_token_in, actions);
            return;
        }
        let priority = record.profile.priority;
        let (patience, given_up_for) = if record.has_begun() {
            (CONTINUATION_PATIENCE, RefusalReason::NoBackEnd)
        } else {
            let patience = self.parameters.queue_wait(priority);
            (patience, RefusalReason::QueueFull)
        };
        let patience_ends = now.after(patience);
        record.queued_at.get_or_insert(now);
        (record.give_up_at, record.give_up_reason) = match last_start {
            Some(last_start) if last_start <= patience_ends => {
                (last_start, RefusalReason::Deadline)
            }
            _ => (patience_ends, given_up_for),
        };
        self.give_up_times
            .insert((record.give_up_at, request.clone()));
        self.push_queued(&request, now, actions);
    }

    /// Puts a request into the queue of its pool, and refuses the one that does not fit any more.
    fn push_queued(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = &self.requests[request];
        let profile = &record.profile;
        let tenant = self.snapshot.catalog.tenants.get(&profile.tenant);
        let queued = QueuedRequest {
            request: request.clone(),
            tenant: profile.tenant.clone(),
            weight: tenant.map_or(1, |tenant| tenant.weight),
            priority: profile.priority,
            cost: profile
                .prompt_tokens
                .saturating_add(profile.expected_output_tokens),
            queued_at: record.queued_at.unwrap_or(now),
        };
        let pool = self.pools.get_mut(&profile.pool).expect("pool is known");
        if record.has_begun() {
            pool.queue.push_continuation(queued);
        } else if let Some(given_up) = pool.queue.push(queued) {
            let retry_after = pool.service_rate.wait_for(pool.queue.len(), now);
            let request = given_up.request;
            self.leave_queue(&request);
            self.refuse(request, RefusalReason::QueueFull, retry_after, actions);
        }
    }

    /// Forgets that a request waits; its place in the queue itself is taken by the caller.
    fn leave_queue(&mut self, request: &RequestId) {
        let give_up_at = self.requests[request].give_up_at;
        self.give_up_times.remove(&(give_up_at, request.clone()));
    }

    fn give_up_overdue(&mut self, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        while let Some((give_up_at, request)) = self.give_up_times.first().cloned() {
            if give_up_at > now {
                return;
            }
            self.give_up_times.pop_first();
            let record = &self.requests[&request];
            let profile = &record.profile;
            let reason = record.give_up_reason;
            let pool = self.pools.get_mut(&profile.pool).expect("pool is known");
            pool.queue.remove(&profile.tenant, &request);
            let retry_after = pool.service_rate.wait_for(pool.queue.len() + 1, now);
            self.refuse(request, reason, retry_after, actions);
        }
    }

    fn serve_all_queues(&mut self, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        let waiting: Vec<PoolName> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for pool in waiting {
            self.serve_queue(&pool, now, actions);
        }
    }

    /// Places queued requests in order until the one whose turn it is finds no room: first those
    /// of begun streams. Where these can't go, because it failed them, new requests still may.
    fn serve_queue(&mut self, pool: &PoolName, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        while let Some(first) = self.pools[pool].queue.first_continuation() {
            let request = first.request.clone();
            let Some(choice) = self.choose_unless_waiting(&request, now) else {
                break;
            };
            let pool = self.pools.get_mut(pool).expect("pool is known");
            pool.queue.take_first_continuation();
            self.leave_queue_for(request, choice, now, actions);
        }
        while let Some(first) = self.pools[pool].queue.first(now) {
            let request = first.request.clone();
            let Some(choice) = self.choose_unless_waiting(&request, now) else {
                return;
            };
            let pool = self.pools.get_mut(pool).expect("pool is known");
            pool.queue.take_first(now);
            self.leave_queue_for(request, choice, now, actions);
        }
    }

    /// `None` while a queued request has to go on waiting.
    fn choose_unless_waiting(
        &self,
        request: &RequestId,
        now: Timestamp,
    ) -> Option<Result<Choice, Blocked>> {
        let patience = self.parameters.unavailable_patience;
        match self.choose(request, now) {
            Err(Blocked::NoRoom { .. }) => None,
            Err(Blocked::Unavailable { until }) if until.since(now) <= patience => None,
            choice => Some(choice),
        }
    }

    /// Starts or refuses a request that has just been taken from its queue.
    fn leave_queue_for(
        &mut self,
        request: RequestId,
        choice: Result<Choice, Blocked>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.leave_queue(&request);
        match choice {
            Ok(choice) => self.start_unless_late(request, choice, now, actions),
            Err(Blocked::Unavailable { until }) => {
                self.refuse(request, RefusalReason::NoBackEnd, until.since(now), actions);
            }
            Err(_) => self.refuse_without_engine(request, actions),
        }
    }

    fn start(
        &mut self,
        request: RequestId,
        choice: Choice,
        resume: Option<ResumePoint>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let attempt = self.next_attempt();
        let record = self.requests.get_mut(&request).expect("request is known");
        record.attempts_made += 1;
        record.running = Some(attempt);
        record.queued_at = None;
        let priority = record.profile.priority;
        let resumes = match resume {
            Some(ResumePoint::SameEngine { attempt, .. }) => Some(attempt),
            Some(ResumePoint::Continue { .. }) | None => None,
        };
        let engine = self
            .engines
            .get_mut(choice.engine)
            .expect("chosen engines are known");
        engine.in_flight += 1;
        engine.add_pending(priority, choice.expectation.missed, now);
        engine.note_weights_probe(record.weights_version, now);
        if choice.is_probe {
            engine.health.probe_sent();
        }
        if resumes.is_none() {
            self.knowledge
                .note(&record.points, choice.engine, engine.epoch(), now);
        }
        let back_end = choice.back_end;
        let assignment = Assignment {
            attempt,
            number: record.attempts_made,
            back_end: back_end.name.clone(),
            address: back_end.address,
            data_centre: back_end.data_centre.clone(),
            zone: back_end.zone,
            incarnation: engine.incarnation(),
            weights_version: record.weights_version,
            // Of a process that has not answered yet nothing may be relied on: it may be another
            // one than the process that earlier attempts went to.
            expected_cached_tokens: engine
                .incarnation()
                .map_or(0, |_| choice.expectation.known_cached),
            kv_import: choice.kv_import,
            kv_export: choice.kv_export,
            resume,
        };
        self.attempts.insert(
            attempt,
            AttemptRecord {
                request: request.clone(),
                back_end: back_end.name,
                data_centre: back_end.data_centre.clone(),
                engine: choice.engine,
                priority,
                started_at: now,
                first_token_after: None,
                incarnation: engine.incarnation(),
                resumes,
                is_probe: choice.is_probe,
                expectation: choice.expectation,
            },
        );
        actions.push(DispatchAction::Start {
            request,
            assignment: Box::new(assignment),
        });
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.attempts_started += 1;
        AttemptId((u128::from(self.seed) << 64) | u128::from(self.attempts_started))
    }

    fn note_answer(&mut self, attempt: AttemptId, observation: &EngineObservation, now: Timestamp) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        record.incarnation = Some(observation.incarnation);
        let key = record.engine;
        let request = record.request.clone();
        self.distances
            .observe(&record.data_centre, now.since(record.started_at));
        self.observe_answer(key, &request, observation, now);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.health.answered();
        // The cache that is being filled is that of the process that answered.
        if let Some(record) = self.requests.get(&request) {
            self.knowledge
                .note(&record.points, key, engine.epoch(), now);
        }
    }

    fn observe_answer(
        &mut self,
        key: EngineKey,
        request: &RequestId,
        observation: &EngineObservation,
        now: Timestamp,
    ) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.observe_answer(observation, now);
        let tolerated = self.parameters.waiting_tolerated;
        let in_flight = engine.in_flight;
        engine
            .window
            .observe(observation.waiting, tolerated, in_flight, now);
        let pool = self
            .requests
            .get(request)
            .and_then(|record| self.pools.get_mut(&record.profile.pool));
        if let (Some(pool), Some(share)) = (pool, engine.own_share()) {
            pool.observe_share(share);
        }
    }

    fn note_first_token(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if record.first_token_after.is_some() {
            return;
        }
        record.first_token_after = Some(now.since(record.started_at));
        if let Some(engine) = self.engines.get_mut(record.engine) {
            engine.remove_pending(record.priority, record.expectation.missed);
        }
    }

    fn note_report(
        &mut self,
        back_end: &BackEndName,
        observation: &EngineObservation,
        now: Timestamp,
    ) {
        let key = self.engines.find(back_end);
        if let Some(engine) = key.and_then(|key| self.engines.get_mut(key)) {
            engine.observe_report(observation, now);
        }
    }

    fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(mut ended) = self.attempts.remove(&attempt) else {
            return;
        };
        self.release(&ended);
        if let Some(observation) = observation {
            self.observe_answer(ended.engine, &ended.request, &observation, now);
            // A refusal for another incarnation says nothing of who ran the attempt.
            if !matches!(outcome, AttemptOutcome::NotRun(_)) {
                ended.incarnation = Some(observation.incarnation);
            }
        }
        self.note_health(&ended, outcome, now);
        self.learn(&ended, outcome, observation, now);
        let request = ended.request.clone();
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.running = None;
        let pool = record.profile.pool.clone();
        self.follow_up(request, attempt, ended, outcome, now, actions);
        self.serve_queue(&pool, now, actions);
    }

    fn release(&mut self, ended: &AttemptRecord) {
        let Some(engine) = self.engines.get_mut(ended.engine) else {
            return;
        };
        engine.in_flight = engine.in_flight.saturating_sub(1);
        if ended.first_token_after.is_none() {
            engine.remove_pending(ended.priority, ended.expectation.missed);
        }
    }

    fn note_health(&mut self, ended: &AttemptRecord, outcome: AttemptOutcome, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(ended.engine) else {
            return;
        };
        match outcome {
            AttemptOutcome::Completed => engine.health.answered(),
            AttemptOutcome::NotRun(NotRunReason::ConnectFailed) => engine.health.unreachable(now),
            AttemptOutcome::Broken { .. } | AttemptOutcome::Unknown => engine.health.failed(now),
            AttemptOutcome::NotRun(NotRunReason::Overloaded) => {
                engine.health.answered();
                engine.window.refused(now);
            }
            AttemptOutcome::NotRun(_) => engine.health.answered(),
            AttemptOutcome::Cancelled if ended.is_probe => engine.health.probe_inconclusive(now),
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Learns from how the expectations of an attempt came out.
    fn learn(
        &mut self,
        ended: &AttemptRecord,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        now: Timestamp,
    ) {
        let Some(record) = self.requests.get(&ended.request) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(ended.engine) else {
            return;
        };
        match outcome {
            AttemptOutcome::NotRun(_) => self.knowledge.forget(&record.points, ended.engine),
            AttemptOutcome::Completed => {
                let pool = self
                    .pools
                    .get_mut(&record.profile.pool)
                    .expect("pool is known");
                pool.count_completion(now.since(ended.started_at), now);
                self.retry_budget.earn();
                if observation.is_none() {
                    engine.window.observe(0, 0, engine.in_flight + 1, now);
                }
                if let Some(exported) = ended.expectation.exported {
                    self.kept.note_exported(exported, now);
                }
                if ended.resumes.is_some() {
                    return;
                }
                self.knowledge
                    .note(&record.points, ended.engine, engine.epoch(), now);
                let cached = observation.and_then(|observation| observation.cached_tokens);
                if let Some(cached) = cached {
                    let prompt = observation
                        .and_then(|observation| observation.prompt_tokens)
                        .unwrap_or(record.profile.prompt_tokens);
                    learn_cached(ended, engine, pool, cached, prompt);
                    if let Some((prefix, tokens)) = ended.expectation.imported
                        && cached < tokens
                    {
                        self.kept.note_gone(prefix);
                    }
                }
            }
            AttemptOutcome::Broken { .. } | AttemptOutcome::Unknown | AttemptOutcome::Cancelled => {
            }
        }
    }

    /// Decides what becomes of the request after an attempt.
    fn follow_up(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        ended: AttemptRecord,
        outcome: AttemptOutcome,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = self.requests.get_mut(&request).expect("request is known");
        match outcome {
            AttemptOutcome::Completed => self.finish(request, FinalOutcome::Completed, actions),
            AttemptOutcome::Cancelled => self.finish(request, FinalOutcome::Cancelled, actions),
            AttemptOutcome::NotRun(NotRunReason::Rejected) => {
                self.refuse(request, RefusalReason::Rejected, Duration::ZERO, actions);
            }
            AttemptOutcome::NotRun(reason) => {
                // The next attempt will ask for the incarnation that has just been learnt.
                if reason != NotRunReason::IncarnationMismatch || ended.resumes.is_some() {
                    record.failed.insert(ended.engine);
                }
                self.run_again_or_refuse(request, now, actions);
            }
            AttemptOutcome::Broken { chunks } => {
                record.note_run_state(RunState::Ran);
                record.delivered_chunks = record.delivered_chunks.max(chunks);
                self.resume_or_run_again(request, attempt, ended, now, actions);
            }
            AttemptOutcome::Unknown => {
                record.note_run_state(RunState::Unknown);
                self.resume_or_run_again(request, attempt, ended, now, actions);
            }
        }
    }

    /// Reads a broken stream on from the same incarnation, which never runs anything twice;
    /// runs the request again elsewhere when that has failed before or cannot be tried.
    fn resume_or_run_again(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        ended: AttemptRecord,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = self.requests.get_mut(&request).expect("request is known");
        record.failed.insert(ended.engine);
        let back_end = self.snapshot.catalog.back_ends.get(&ended.back_end);
        let lives_on = |engine: EngineKey| {
            let known = self.engines.get(engine)?.incarnation();
            (known == ended.incarnation).then_some(())
        };
        let can_resume = record.weights_version.is_some()
            && record.attempts_made < self.parameters.max_attempts
            && ended.resumes.is_none()
            && ended.incarnation.is_some()
            && lives_on(ended.engine).is_some();
        let Some(back_end) = back_end.filter(|_| can_resume) else {
            self.run_again_or_refuse(request, now, actions);
            return;
        };
        let resume = ResumePoint::SameEngine {
            attempt,
            next_chunk: record.delivered_chunks,
        };
        let choice = Choice {
            engine: ended.engine,
            back_end: back_end.clone(),
            is_probe: false,
            first_token_in: Duration::ZERO,
            kv_import: None,
            kv_export: None,
            expectation: Default::default(),
        };
        self.start(request, choice, Some(resume), now, actions);
    }

    fn run_again_or_refuse(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = &self.requests[&request];
        let is_exhausted = record.attempts_made >= self.parameters.max_attempts;
        if !record.may_run_again() || is_exhausted {
            let retry_after = self.parameters.no_back_end_retry_after;
            self.refuse(
                request,
                RefusalReason::AttemptsExhausted,
                retry_after,
                actions,
            );
        } else if self.retry_budget.spend(now) {
            self.place(request, now, actions);
        } else {
            let retry_after = self
                .retry_budget
                .next_in()
                .max(self.parameters.no_back_end_retry_after);
            self.refuse(
                request,
                RefusalReason::AttemptsExhausted,
                retry_after,
                actions,
            );
        }
    }

    /// Cancels a request that waits for tickets of its tenant.
    fn cancel_waiting(&mut self, request: RequestId, actions: &mut Vec<DispatchAction>) {
        let waited = self
            .tenant_gate
            .as_mut()
            .is_some_and(|gate| gate.cancel(&request));
        if waited {
            let outcome = FinalOutcome::Cancelled;
            actions.push(DispatchAction::Finish { request, outcome });
        }
    }

    fn cancel(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        let Some(record) = self.requests.get(&request) else {
            self.cancel_waiting(request, actions);
            return;
        };
        let pool_name = record.profile.pool.clone();
        if let Some(attempt) = record.running {
            if let Some(ended) = self.attempts.remove(&attempt) {
                self.release(&ended);
                self.note_health(&ended, AttemptOutcome::Cancelled, now);
            }
            actions.push(DispatchAction::Cancel { attempt });
        } else {
            let tenant = record.profile.tenant.clone();
            let pool = self.pools.get_mut(&pool_name).expect("pool is known");
            pool.queue.remove(&tenant, &request);
            self.leave_queue(&request);
        }
        self.finish(request, FinalOutcome::Cancelled, actions);
        self.serve_queue(&pool_name, now, actions);
    }

    /// Refuses a request for good; `retry_after` is told only where coming back can help and
    /// nothing of the request has run.
    fn refuse(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Duration,
        actions: &mut Vec<DispatchAction>,
    ) {
        let run_state = self.requests[&request].run_state;
        let passes = reason != RefusalReason::Rejected;
        let refusal = Refusal {
            reason,
            run_state,
            retry_after: (passes && run_state == RunState::NotRun).then_some(retry_after),
        };
        self.finish(request, FinalOutcome::Refused(refusal), actions);
    }

    fn finish(
        &mut self,
        request: RequestId,
        outcome: FinalOutcome,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.requests.remove(&request);
        actions.push(finish(request, outcome));
    }
}

fn learn_cached(
    ended: &AttemptRecord,
    engine: &mut super::engine_record::EngineRecord,
    pool: &mut PoolState,
    cached: u32,
    prompt: u32,
) {
    let expectation = &ended.expectation;
    let missed = prompt.saturating_sub(cached);
    pool.mean_missed.add(f64::from(missed));
    if let (Some((age, epoch)), None) = (expectation.known_age, expectation.imported) {
        let expected = f64::from(expectation.known_cached) * FOUND_SHARE;
        if f64::from(cached) >= expected {
            engine.retention.found(age);
        } else if epoch == engine.epoch() {
            engine.retention.missed(age);
        }
    }
    if let Some(unknown) = expectation.unknown_shared {
        let found = unknown.found(cached);
        pool.found_share
            .observe(unknown.priority, unknown.tokens(), found);
    }
    let was_idle = expectation.tokens_ahead < 1.0 && expectation.imported.is_none();
    if let Some(first_token_after) = ended.first_token_after
        && was_idle
        && missed >= SPEED_SAMPLE_TOKENS
        && !first_token_after.is_zero()
    {
        let speed = f64::from(missed) / first_token_after.as_secs_f64();
        pool.prefill_speed.observe(speed);
    }
}

/// Refuses a request that was never taken in.
fn refuse_unseen(request: RequestId, reason: RefusalReason) -> DispatchAction {
    let refusal = Refusal {
        reason,
        run_state: RunState::NotRun,
        retry_after: None,
    };
    finish(request, FinalOutcome::Refused(refusal))
}

fn finish(request: RequestId, outcome: FinalOutcome) -> DispatchAction {
    DispatchAction::Finish { request, outcome }
}
