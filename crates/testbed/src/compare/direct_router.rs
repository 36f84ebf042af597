//! Router processes that send each request on at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{
    Assignment, AttemptOutcome, DispatchAction, DispatchEvent, FinalOutcome, NotRunReason, Refusal,
    RefusalReason, Repeatability, RequestProfile, ResumePoint, RunState,
};
use ryerouter_core::identity::{AttemptId, RequestId};

use super::cluster_router::ClusterRouter;
use super::deployment::Deployment;
use super::direct_request::DirectRequest;
use super::engine_choice::{ChoiceRequest, EngineChoice};
use super::simulated_engine::SimulatedEngine;
use crate::workload::SessionId;

/// Most attempts of one request, as many as the router's own dispatcher makes.
const MAX_ATTEMPTS: u32 = 4;
/// How long a router process avoids a back end that refused its connection.
const AVOID_AFTER_FAILED_CONNECT: Duration = Duration::from_secs(1);
/// When a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An attempt under way.
#[derive(Debug, Clone)]
struct DirectAttempt {
    request: RequestId,
    back_end: usize,
}

/// Router processes that send each request on at once to the back end a plain policy picks. They
/// retry, continue broken answers elsewhere and avoid dead engines as a careful operator's
/// load balancer would, so that only the choice itself is compared.
pub(super) struct DirectRouter<C> {
    deployment: Arc<Deployment>,
    sessions: Arc<BTreeMap<RequestId, SessionId>>,
    choice: C,
    knows_all: bool,
    requests: BTreeMap<RequestId, DirectRequest>,
    attempts: BTreeMap<AttemptId, DirectAttempt>,
    attempts_started: u128,
    avoided_until: BTreeMap<(usize, usize), Timestamp>,
}

impl<C: EngineChoice> DirectRouter<C> {
    /// Router processes of a deployment; `knows_all` lets them see at once which engine is down.
    pub fn new(
        deployment: Arc<Deployment>,
        sessions: Arc<BTreeMap<RequestId, SessionId>>,
        choice: C,
        knows_all: bool,
    ) -> Self {
        Self {
            deployment,
            sessions,
            choice,
            knows_all,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempts_started: 0,
            avoided_until: BTreeMap::new(),
        }
    }

    fn submit(&mut self, node: usize, profile: RequestProfile) -> RequestId {
        let request = profile.request.clone();
        let record = DirectRequest {
            node,
            profile,
            attempts: 0,
            failed: Default::default(),
            delivered_chunks: 0,
            may_have_run: false,
        };
        self.requests.insert(request.clone(), record);
        request
    }

    fn start_attempt(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        engines: &[SimulatedEngine],
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = &self.requests[request];
        let candidates = self.candidates(record, now, engines);
        if candidates.is_empty() || record.attempts >= MAX_ATTEMPTS {
            self.refuse(request, actions);
            return;
        }
        let choice_request = ChoiceRequest {
            node: record.node,
            session: self.sessions[request],
            profile: &record.profile,
        };
        let back_end = match self.is_service(record) {
            true => candidates[self.attempts_started as usize % candidates.len()],
            false => self
                .choice
                .choose(choice_request, &candidates, now, engines),
        };
        self.attempts_started += 1;
        let attempt = AttemptId(self.attempts_started);
        if !self.is_service(record) {
            self.choice
                .started(choice_request, attempt, back_end, engines);
        }
        self.send(request, attempt, back_end, actions);
    }

    fn send(
        &mut self,
        request: &RequestId,
        attempt: AttemptId,
        back_end: usize,
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = self.requests.get_mut(request).expect("it is under way");
        record.attempts += 1;
        let spec = self.deployment.back_end(back_end);
        let delivered_chunks = record.delivered_chunks;
        let resume = (delivered_chunks > 0).then_some(ResumePoint::Continue { delivered_chunks });
        let assignment = Assignment {
            attempt,
            number: record.attempts,
            back_end: spec.name.clone(),
            address: spec.address,
            data_centre: spec.data_centre.clone(),
            zone: spec.zone.clone(),
            incarnation: None,
            weights_version: None,
            expected_cached_tokens: 0,
            kv_import: None,
            kv_export: None,
            resume,
        };
        let under_way = DirectAttempt {
            request: request.clone(),
            back_end,
        };
        self.attempts.insert(attempt, under_way);
        actions.push(DispatchAction::Start {
            request: request.clone(),
            assignment: Box::new(assignment),
        });
    }

    fn is_service(&self, record: &DirectRequest) -> bool {
        record.profile.pool == self.deployment.service_pool
    }

    /// Back ends of the pool that have not failed the request and are not avoided; if there are
    /// none, those that are avoided too.
    fn candidates(
        &self,
        record: &DirectRequest,
        now: Timestamp,
        engines: &[SimulatedEngine],
    ) -> Vec<usize> {
        let first_service = self.deployment.engines.len();
        let pool = match self.is_service(record) {
            true => first_service..first_service + self.deployment.services.len(),
            false => 0..first_service,
        };
        let untried: Vec<usize> = pool
            .filter(|back_end| !record.failed.contains(back_end))
            .collect();
        let usable = |back_end: &usize| {
            let avoided = self.avoided_until.get(&(record.node, *back_end));
            let down = engines.get(*back_end).is_some_and(|engine| engine.down);
            avoided.is_none_or(|until| *until <= now) && !(self.knows_all && down)
        };
        let usable: Vec<usize> = untried.iter().copied().filter(usable).collect();
        if usable.is_empty() { untried } else { usable }
    }

    fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Timestamp,
        engines: &[SimulatedEngine],
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(record) = self.requests.get_mut(&ended.request) else {
            return;
        };
        let node = record.node;
        if ended.back_end < self.deployment.engines.len() {
            self.choice.ended(node, attempt, ended.back_end);
        }
        record.failed.insert(ended.back_end);
        match outcome {
            AttemptOutcome::Completed => {
                self.finish(&ended.request, FinalOutcome::Completed, actions);
                return;
            }
            AttemptOutcome::Cancelled => return,
            AttemptOutcome::NotRun(NotRunReason::ConnectFailed) => {
                let until = now.after(AVOID_AFTER_FAILED_CONNECT);
                self.avoided_until.insert((node, ended.back_end), until);
            }
            AttemptOutcome::NotRun(_) => {}
            AttemptOutcome::Broken { chunks } => {
                record.delivered_chunks += chunks;
                record.may_have_run = true;
            }
            AttemptOutcome::Unknown => record.may_have_run = true,
        }
        let repeatable = record.profile.repeatability == Repeatability::Repeatable;
        if record.may_have_run && !repeatable {
            self.refuse(&ended.request, actions);
        } else {
            self.start_attempt(&ended.request, now, engines, actions);
        }
    }

    fn refuse(&mut self, request: &RequestId, actions: &mut Vec<DispatchAction>) {
        let may_have_run = self.requests[request].may_have_run;
        let refusal = Refusal {
            reason: RefusalReason::AttemptsExhausted,
            run_state: if may_have_run {
                RunState::Unknown
            } else {
                RunState::NotRun
            },
            retry_after: Some(RETRY_AFTER),
        };
        self.finish(request, FinalOutcome::Refused(refusal), actions);
    }

    fn finish(
        &mut self,
        request: &RequestId,
        outcome: FinalOutcome,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.requests.remove(request);
        actions.push(DispatchAction::Finish {
            request: request.clone(),
            outcome,
        });
    }
}

impl<C: EngineChoice> ClusterRouter for DirectRouter<C> {
    fn handle(
        &mut self,
        node: usize,
        event: DispatchEvent,
        now: Timestamp,
        engines: &[SimulatedEngine],
        actions: &mut Vec<DispatchAction>,
    ) {
        match event {
            DispatchEvent::Submitted(profile) => {
                let request = self.submit(node, *profile);
                self.start_attempt(&request, now, engines, actions);
            }
            DispatchEvent::FirstToken { attempt } => {
                if let Some(under_way) = self.attempts.get(&attempt) {
                    self.choice.first_token(attempt, under_way.back_end);
                }
            }
            DispatchEvent::AttemptEnded {
                attempt, outcome, ..
            } => self.end_attempt(attempt, outcome, now, engines, actions),
            DispatchEvent::LoadReported {
                back_end,
                observation,
            } => {
                let back_end = self.deployment.number(&back_end);
                self.choice.reported(node, back_end, &observation);
            }
            _ => {}
        }
    }
}
