//! The dispatcher.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{BackEnd, BackEndState, PoolKind};
use crate::identity::{AttemptId, BackEndName, DataCentreName, Incarnation, RequestId, ZoneName};
use crate::placement::{name_hash, rendezvous_score};
use crate::timestamp::Timestamp;

use super::attempt_record::AttemptRecord;
use super::request_record::RequestRecord;
use super::{
    Assignment, AttemptOutcome, DispatchAction, DispatchEvent, DispatchParameters,
    EngineObservation, FinalOutcome, NotRunReason, Refusal, RefusalReason, RequestProfile,
    ResumePoint, RoutingSnapshot, RunState,
};

/// Decides for every request of one router process which back end serves it, and when.
#[derive(Debug)]
pub struct Dispatcher {
    _data_centre: DataCentreName,
    _zone: ZoneName,
    seed: u64,
    parameters: DispatchParameters,
    attempts_started: u64,
    snapshot: Arc<RoutingSnapshot>,
    requests: BTreeMap<RequestId, RequestRecord>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    incarnations: BTreeMap<BackEndName, Incarnation>,
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
        Self {
            _data_centre: data_centre,
            _zone: zone,
            seed,
            parameters,
            attempts_started: 0,
            snapshot: Arc::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            incarnations: BTreeMap::new(),
        }
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        event: DispatchEvent,
        _now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        match event {
            DispatchEvent::Submitted(profile) => self.submit(*profile, actions),
            DispatchEvent::AnswerStarted {
                attempt,
                observation,
            } => self.note_answer(attempt, &observation),
            DispatchEvent::FirstToken { .. } | DispatchEvent::Tick => {}
            DispatchEvent::AttemptEnded {
                attempt,
                outcome,
                observation,
            } => self.end_attempt(attempt, outcome, observation, actions),
            DispatchEvent::CallerLeft { request } => self.cancel(request, actions),
            DispatchEvent::LoadReported {
                back_end,
                observation,
            } => self.note_incarnation(&back_end, observation.incarnation),
            DispatchEvent::SnapshotPublished(snapshot) => self.snapshot = snapshot,
        }
    }

    fn submit(&mut self, profile: RequestProfile, actions: &mut Vec<DispatchAction>) {
        let request = profile.request.clone();
        let Some(pool) = self.snapshot.catalog.pools.get(&profile.pool) else {
            let refusal = self.refusal(RefusalReason::NoSuchPool, RunState::NotRun);
            actions.push(finish(request, FinalOutcome::Refused(refusal)));
            return;
        };
        let weights_version = match pool.kind {
            PoolKind::Model {
                weights_version, ..
            } => profile.prefix.weights_version.or(Some(weights_version)),
            PoolKind::Service => None,
        };
        let record = RequestRecord::new(profile, weights_version);
        self.requests.insert(request.clone(), record);
        self.attempt_elsewhere(request, actions);
    }

    /// Starts an attempt on the best back end that has not failed the request, or refuses it.
    fn attempt_elsewhere(&mut self, request: RequestId, actions: &mut Vec<DispatchAction>) {
        let record = &self.requests[&request];
        if record.attempts_made >= self.parameters.max_attempts {
            self.refuse(request, RefusalReason::AttemptsExhausted, actions);
            return;
        }
        let Some(back_end) = self.choose(record).cloned() else {
            self.refuse(request, RefusalReason::NoBackEnd, actions);
            return;
        };
        let resume = record.continuation();
        let incarnation = self.incarnations.get(&back_end.name).copied();
        self.start(request, &back_end, incarnation, resume, actions);
    }

    fn choose(&self, record: &RequestRecord) -> Option<&BackEnd> {
        let key = placement_key(&record.profile);
        self.snapshot
            .catalog
            .back_ends
            .values()
            .filter(|back_end| back_end.pool == record.profile.pool)
            .filter(|back_end| back_end.state == BackEndState::Active)
            .filter(|back_end| !self.snapshot.leaving.contains(&back_end.name))
            .filter(|back_end| !record.failed.contains(&back_end.name))
            .max_by_key(|back_end| rendezvous_score(key, name_hash(&back_end.name)))
    }

    fn start(
        &mut self,
        request: RequestId,
        back_end: &BackEnd,
        incarnation: Option<Incarnation>,
        resume: Option<ResumePoint>,
        actions: &mut Vec<DispatchAction>,
    ) {
        let attempt = self.next_attempt();
        let record = self.requests.get_mut(&request).expect("request is known");
        record.attempts_made += 1;
        record.running = Some(attempt);
        let assignment = Assignment {
            attempt,
            number: record.attempts_made,
            back_end: back_end.name.clone(),
            address: back_end.address,
            data_centre: back_end.data_centre.clone(),
            zone: back_end.zone.clone(),
            incarnation,
            weights_version: record.weights_version,
            expected_cached_tokens: 0,
            kv_import: None,
            kv_export: None,
            resume,
        };
        let resumes = match resume {
            Some(ResumePoint::SameEngine { attempt, .. }) => Some(attempt),
            Some(ResumePoint::Continue { .. }) | None => None,
        };
        self.attempts.insert(
            attempt,
            AttemptRecord {
                request: request.clone(),
                back_end: back_end.name.clone(),
                incarnation,
                resumes,
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

    fn note_answer(&mut self, attempt: AttemptId, observation: &EngineObservation) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        record.incarnation = Some(observation.incarnation);
        let back_end = record.back_end.clone();
        self.note_incarnation(&back_end, observation.incarnation);
    }

    /// Incarnations only rise, so a late report of an older one is ignored.
    fn note_incarnation(&mut self, back_end: &BackEndName, incarnation: Incarnation) {
        if incarnation == Incarnation::default() {
            return;
        }
        let known = self.incarnations.entry(back_end.clone()).or_default();
        *known = incarnation.max(*known);
    }

    fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(mut ended) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(observation) = observation {
            self.note_incarnation(&ended.back_end, observation.incarnation);
            // A refusal for another incarnation says nothing of who ran the attempt.
            if !matches!(outcome, AttemptOutcome::NotRun(_)) {
                ended.incarnation = Some(observation.incarnation);
            }
        }
        let request = ended.request.clone();
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.running = None;
        match outcome {
            AttemptOutcome::Completed => self.finish(request, FinalOutcome::Completed, actions),
            AttemptOutcome::Cancelled => self.finish(request, FinalOutcome::Cancelled, actions),
            AttemptOutcome::NotRun(NotRunReason::Rejected) => {
                self.refuse(request, RefusalReason::Rejected, actions);
            }
            AttemptOutcome::NotRun(reason) => {
                // The next attempt will ask for the incarnation that has just been learnt.
                if reason != NotRunReason::IncarnationMismatch || ended.resumes.is_some() {
                    record.failed.insert(ended.back_end);
                }
                self.run_again_or_refuse(request, actions);
            }
            AttemptOutcome::Broken { chunks } => {
                record.note_run_state(RunState::Ran);
                record.delivered_chunks = record.delivered_chunks.max(chunks);
                self.resume_or_run_again(request, attempt, ended, actions);
            }
            AttemptOutcome::Unknown => {
                record.note_run_state(RunState::Unknown);
                self.resume_or_run_again(request, attempt, ended, actions);
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
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = self.requests.get_mut(&request).expect("request is known");
        record.failed.insert(ended.back_end.clone());
        let can_resume = record.weights_version.is_some()
            && record.attempts_made < self.parameters.max_attempts
            && ended.resumes.is_none();
        let back_end = self.snapshot.catalog.back_ends.get(&ended.back_end);
        if let (true, Some(incarnation), Some(back_end)) = (can_resume, ended.incarnation, back_end)
        {
            let resume = ResumePoint::SameEngine {
                attempt,
                next_chunk: record.delivered_chunks,
            };
            let back_end = back_end.clone();
            self.start(request, &back_end, Some(incarnation), Some(resume), actions);
            return;
        }
        self.run_again_or_refuse(request, actions);
    }

    fn run_again_or_refuse(&mut self, request: RequestId, actions: &mut Vec<DispatchAction>) {
        if self.requests[&request].may_run_again() {
            self.attempt_elsewhere(request, actions);
        } else {
            self.refuse(request, RefusalReason::AttemptsExhausted, actions);
        }
    }

    fn cancel(&mut self, request: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        if let Some(attempt) = record.running {
            self.attempts.remove(&attempt);
            actions.push(DispatchAction::Cancel { attempt });
        }
        self.finish(request, FinalOutcome::Cancelled, actions);
    }

    fn refuse(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<DispatchAction>,
    ) {
        let run_state = self.requests[&request].run_state;
        let refusal = self.refusal(reason, run_state);
        self.finish(request, FinalOutcome::Refused(refusal), actions);
    }

    fn refusal(&self, reason: RefusalReason, run_state: RunState) -> Refusal {
        Refusal {
            reason,
            run_state,
            retry_after: self.retry_after(reason, run_state),
        }
    }

    /// Coming back helps only when the reason passes and nothing of the request has run.
    fn retry_after(&self, reason: RefusalReason, run_state: RunState) -> Option<Duration> {
        let passes = matches!(
            reason,
            RefusalReason::NoBackEnd | RefusalReason::AttemptsExhausted
        );
        (passes && run_state == RunState::NotRun).then_some(self.parameters.no_back_end_retry_after)
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

/// The key that places a request: its prefix, or the request itself when it has none.
fn placement_key(profile: &RequestProfile) -> u64 {
    let level = profile.prefix.level_ends().nth(PLACEMENT_LEVEL);
    let block = level.or(profile.prefix.blocks.last());
    block.map_or_else(
        || xxhash_rust::xxh3::xxh3_64(profile.request.as_str().as_bytes()),
        |block| block.hash.0,
    )
}

/// Nesting level whose prefix places a request.
const PLACEMENT_LEVEL: usize = 1;

fn finish(request: RequestId, outcome: FinalOutcome) -> DispatchAction {
    DispatchAction::Finish { request, outcome }
}
