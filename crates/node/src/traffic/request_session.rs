//! One request between its task and the dispatcher.

use std::sync::Arc;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{
    Assignment, AttemptOutcome, DispatchEvent, EngineObservation, FinalOutcome, Repeatability,
    RequestProfile, RunState,
};
use ryerouter_core::identity::{AttemptId, BackEndName, PoolName, RequestId, TenantName};
use slog::{Logger, info, o};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::logging::Present;
use crate::metrics::RequestEnd;

use super::{ActiveRequest, AttemptTrace, ClaimHold, RequestCommand, RequestTrace, TrafficContext};

/// One request between its task and the dispatcher.
///
/// Dropping it before the dispatcher has finished the request tells the dispatcher that the caller
/// left.
pub(crate) struct RequestSession {
    context: Arc<TrafficContext>,
    logger: Logger,
    request: RequestId,
    tenant: TenantName,
    pool: PoolName,
    arrived_at: Timestamp,
    prompt_tokens: u32,
    repeatable: bool,
    first_token_at: Option<Timestamp>,
    chunks: u64,
    attempts: Vec<AttemptTrace>,
    commands: UnboundedReceiver<RequestCommand>,
    claim: Option<ClaimHold>,
    /// The back end of the attempt under way.
    in_flight: Option<BackEndName>,
    outcome: Option<FinalOutcome>,
    _active: ActiveRequest,
}

impl RequestSession {
    pub(crate) fn submit(
        context: Arc<TrafficContext>,
        profile: Box<RequestProfile>,
        claim: Option<ClaimHold>,
        active: ActiveRequest,
    ) -> Self {
        let tenant = profile.tenant.clone();
        let pool = profile.pool.clone();
        let arrived_at = profile.arrived_at;
        let prompt_tokens = profile.prompt_tokens;
        let repeatable = profile.repeatability == Repeatability::Repeatable;
        let (request, commands) = context.dispatch.submit(profile);
        let logger = context.logger.new(o!("request" => request.to_string()));
        context.metrics.active_requests.inc();
        context.live.request_submitted(&pool);
        Self {
            context,
            logger,
            request,
            tenant,
            pool,
            arrived_at,
            prompt_tokens,
            repeatable,
            first_token_at: None,
            chunks: 0,
            attempts: Vec::new(),
            commands,
            claim,
            in_flight: None,
            outcome: None,
            _active: active,
        }
    }

    pub(crate) fn attempts_made(&self) -> usize {
        self.attempts.len()
    }

    /// The dispatcher's next command. Commands end with `Finish`.
    pub(crate) async fn next_command(&mut self) -> RequestCommand {
        let command = self.commands.recv().await;
        // The dispatch handle keeps the sending half until the session is dropped.
        let command = command.expect("mailbox stays open while its session lives");
        self.observe_command(&command);
        command
    }

    /// The dispatcher's next command, if it is there already.
    pub(crate) fn poll_command(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<RequestCommand> {
        let command = std::task::ready!(self.commands.poll_recv(context));
        let command = command.expect("mailbox stays open while its session lives");
        self.observe_command(&command);
        std::task::Poll::Ready(command)
    }

    fn observe_command(&mut self, command: &RequestCommand) {
        match command {
            RequestCommand::Start(assignment) => self.note_start(assignment),
            RequestCommand::Finish(outcome) => self.outcome = Some(*outcome),
            RequestCommand::Cancel(_) => {}
        }
    }

    fn note_start(&mut self, assignment: &Assignment) {
        if let Some(resume) = &assignment.resume {
            self.context.metrics.count_resumed(resume);
        }
        if self.attempts.is_empty() {
            self.context.live.request_started(&self.pool);
        }
        self.end_attempt_in_flight();
        self.context.live.attempt_started(&assignment.back_end);
        self.in_flight = Some(assignment.back_end.clone());
        self.attempts.push(AttemptTrace {
            attempt: assignment.attempt,
            back_end: assignment.back_end.clone(),
            data_centre: assignment.data_centre.clone(),
            zone: assignment.zone.clone(),
            started_at: self.context.dispatch.now(),
            expected_cached_tokens: assignment.expected_cached_tokens,
            cached_tokens: None,
            prompt_tokens: None,
            outcome: None,
            detail: None,
        });
    }

    pub(crate) fn answer_started(&mut self, attempt: AttemptId, observation: EngineObservation) {
        self.observe(attempt, &observation);
        let event = DispatchEvent::AnswerStarted {
            attempt,
            observation,
        };
        self.context.dispatch.handle(event);
    }

    pub(crate) fn first_token(&mut self, attempt: AttemptId) {
        if self.first_token_at.is_some() {
            return;
        }
        let now = self.context.dispatch.now();
        self.first_token_at = Some(now);
        let waited = now.since(self.arrived_at);
        self.context.metrics.first_token(&self.pool, waited);
        let event = DispatchEvent::FirstToken { attempt };
        self.context.dispatch.handle(event);
    }

    /// Notes chunks of the answer that reached the caller.
    pub(crate) fn chunks_delivered(&mut self, chunks: u64) {
        self.chunks = chunks;
    }

    pub(crate) fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        detail: Option<String>,
    ) {
        let cached_tokens = observation.and_then(|observed| observed.cached_tokens);
        let prompt_tokens = observation.and_then(|observed| observed.prompt_tokens);
        let metrics = &self.context.metrics;
        metrics.attempt_ended(outcome);
        metrics.prompt_tokens(&self.pool, prompt_tokens, cached_tokens);
        if let Some(observation) = &observation {
            self.observe(attempt, observation);
        }
        if let Some(detail) = &detail {
            info!(self.logger, "attempt_failed"; "attempt" => format!("{:x}", attempt.0),
                "outcome" => format!("{outcome:?}"), "cause" => detail);
        }
        if let Some(trace) = self
            .attempts
            .iter_mut()
            .rev()
            .find(|t| t.attempt == attempt)
        {
            trace.cached_tokens = cached_tokens;
            trace.prompt_tokens = prompt_tokens;
            trace.outcome = Some(outcome);
            trace.detail = detail;
        }
        self.end_attempt_in_flight();
        let event = DispatchEvent::AttemptEnded {
            attempt,
            outcome,
            observation,
        };
        self.context.dispatch.handle(event);
    }

    fn end_attempt_in_flight(&mut self) {
        if let Some(back_end) = self.in_flight.take() {
            self.context.live.attempt_ended(&back_end);
        }
    }

    fn observe(&self, attempt: AttemptId, observation: &EngineObservation) {
        let trace = self.attempts.iter().rev().find(|t| t.attempt == attempt);
        if let Some(trace) = trace {
            self.context.observations.note(&trace.back_end, observation);
            self.context.live.observed(&trace.back_end, *observation);
        }
    }

    /// Ends the request for the dispatcher although it wants to go on.
    pub(crate) fn abandon(&mut self) {
        let event = DispatchEvent::CallerDisconnected {
            request: self.request.clone(),
        };
        self.context.dispatch.handle(event);
    }

    /// Sets the outcome the caller is told, where it is not the dispatcher's.
    pub(crate) fn set_outcome(&mut self, outcome: FinalOutcome) {
        self.outcome = Some(outcome);
    }

    fn settle_claim(&mut self, outcome: FinalOutcome) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        let never_started = self.attempts.is_empty();
        let not_run = match outcome {
            FinalOutcome::Completed => false,
            FinalOutcome::Refused(refusal) => refusal.run_state == RunState::NotRun,
            FinalOutcome::Cancelled => never_started,
        };
        if not_run {
            claim.release();
        } else {
            claim.keep();
        }
    }

    fn record(&mut self, outcome: FinalOutcome) {
        let ended_at = self.context.dispatch.now();
        let duration = ended_at.since(self.arrived_at);
        let end = RequestEnd::new(outcome);
        let ttft = self.first_token_at.map(|at| at.since(self.arrived_at));
        let metrics = &self.context.metrics;
        metrics.active_requests.dec();
        self.context
            .live
            .request_ended(&self.pool, !self.attempts.is_empty());
        metrics.request_ended(&self.pool, &end, duration);
        let last = self.attempts.last();
        info!(self.logger, "request_finished"; "tenant" => self.tenant.as_str().to_owned(),
            "pool" => self.pool.as_str().to_owned(), end, "attempts" => self.attempts.len(),
            Present("back_end", last.map(|trace| trace.back_end.to_string())),
            "duration_us" => duration.as_micros() as u64,
            Present("first_token_us", ttft.map(|ttft| ttft.as_micros() as u64)),
            "chunks" => self.chunks);
        let first_attempt = self.attempts.first();
        let queued = first_attempt.map(|trace| trace.started_at.since(self.arrived_at));
        self.context.traces.push(RequestTrace {
            request: self.request.clone(),
            tenant: self.tenant.clone(),
            pool: self.pool.clone(),
            arrived_at: self.arrived_at,
            ended_at,
            prompt_tokens: self.prompt_tokens,
            attempts: std::mem::take(&mut self.attempts),
            repeatable: self.repeatable,
            queued,
            first_token: ttft,
            outcome: end.label(),
            refusal: end.refusal(),
        });
    }
}

impl Drop for RequestSession {
    fn drop(&mut self) {
        if self.outcome.is_none() {
            self.abandon();
        }
        let outcome = self.outcome.unwrap_or(FinalOutcome::Cancelled);
        self.end_attempt_in_flight();
        self.context.dispatch.forget(&self.request);
        self.settle_claim(outcome);
        self.record(outcome);
    }
}
