//! Carries out the dispatcher's commands for one request until a back end answers.

use std::sync::Arc;

use ryerouter_core::dispatch::{
    Assignment, AttemptOutcome, EngineObservation, FinalOutcome, Refusal, RefusalReason,
    ResumePoint, RunState,
};
use ryerouter_core::identity::AttemptId;

use crate::engine::{
    AttemptFailure, EngineAnswer, EngineTarget, PayloadKind, RejectedAnswer, RequestPayload,
};
use crate::traffic::{RequestCommand, RequestSession, Worker};

use super::AttemptGuard;

/// One request and what it takes to make attempts for it.
pub(crate) struct RequestExchange {
    pub(crate) worker: Arc<Worker>,
    pub(crate) session: RequestSession,
    pub(crate) payload: Arc<RequestPayload>,
    /// The attempt whose stream broke off, which its engine may still hold.
    broken: Option<EngineTarget>,
}

/// What the dispatcher's commands led to.
pub(crate) enum NextAnswer {
    /// A back end answers.
    Open(Box<OpenAnswer>),
    /// The request is over.
    Finished {
        /// Its outcome.
        outcome: FinalOutcome,
        /// The back end's own words, where it refused the request itself.
        rejection: Option<Box<RejectedAnswer>>,
    },
}

/// An answer whose body is still to be read.
pub(crate) struct OpenAnswer {
    pub(crate) assignment: Box<Assignment>,
    pub(crate) answer: EngineAnswer,
    pub(crate) guard: AttemptGuard,
}

enum AttemptEnd {
    Answered(Box<EngineAnswer>, AttemptGuard),
    Failed(AttemptFailure),
    Cancelled,
    Finished(FinalOutcome),
}

impl RequestExchange {
    pub(crate) fn new(
        worker: Arc<Worker>,
        session: RequestSession,
        payload: Arc<RequestPayload>,
    ) -> Self {
        Self {
            worker,
            session,
            payload,
            broken: None,
        }
    }

    /// Makes attempts as the dispatcher commands until one is answered or the request is over.
    ///
    /// `delivered_text` is what the caller already has; `None` when no other engine could continue
    /// from it.
    pub(crate) async fn next_answer(&mut self, delivered_text: Option<&str>) -> NextAnswer {
        let mut rejection = None;
        loop {
            let assignment = match self.session.next_command().await {
                RequestCommand::Start(assignment) => assignment,
                RequestCommand::Finish(outcome) => {
                    return NextAnswer::Finished { outcome, rejection };
                }
                // The attempt it names has ended already.
                RequestCommand::Cancel(_) => continue,
            };
            let continues = matches!(assignment.resume, Some(ResumePoint::Continue { .. }));
            if continues && delivered_text.is_none() {
                return self.give_up(RefusalReason::AttemptsExhausted, RunState::Ran);
            }
            let text = delivered_text.unwrap_or_default();
            match self.make_attempt(&assignment, text).await {
                AttemptEnd::Answered(answer, guard) => {
                    return NextAnswer::Open(Box::new(OpenAnswer {
                        assignment,
                        answer: *answer,
                        guard,
                    }));
                }
                AttemptEnd::Failed(failure) if failure.is_lapsed_claim() => {
                    return self.give_up(RefusalReason::ClaimUnavailable, RunState::NotRun);
                }
                AttemptEnd::Failed(failure) => {
                    self.report_failure(assignment.attempt, &failure);
                    rejection = failure.rejection;
                }
                AttemptEnd::Cancelled => self.report_cancelled(assignment.attempt),
                AttemptEnd::Finished(outcome) => {
                    return NextAnswer::Finished { outcome, rejection };
                }
            }
        }
    }

    /// Reports that an answered attempt broke off. Its engine may still hold it, for a resumption.
    pub(crate) fn report_broken(
        &mut self,
        guard: AttemptGuard,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        detail: String,
    ) {
        let target = guard.target();
        guard.settle();
        self.broken = Some(target);
        self.session
            .attempt_ended(target.attempt, outcome, observation, Some(detail));
    }

    pub(crate) fn report_completed(
        &mut self,
        guard: AttemptGuard,
        observation: Option<EngineObservation>,
    ) {
        let attempt = guard.target().attempt;
        guard.settle();
        self.session
            .attempt_ended(attempt, AttemptOutcome::Completed, observation, None);
        self.session.set_outcome(FinalOutcome::Completed);
    }

    pub(crate) fn report_cancelled(&mut self, attempt: AttemptId) {
        self.session
            .attempt_ended(attempt, AttemptOutcome::Cancelled, None, None);
    }

    async fn make_attempt(&mut self, assignment: &Assignment, text: &str) -> AttemptEnd {
        let target = self.target_of(assignment);
        let guard = AttemptGuard::new(self.worker.clone(), target, self.payload.kind);
        let link = self.worker.link.clone();
        let answered = link.attempt(&self.payload, assignment, target, text);
        let answered = tokio::select! {
            answered = answered => answered,
            end = wait_for_end(&mut self.session, assignment.attempt) => return end,
        };
        match answered {
            Ok(answer) => {
                if let Some(observation) = answer.head.observation {
                    self.session.answer_started(assignment.attempt, observation);
                }
                AttemptEnd::Answered(Box::new(answer), guard)
            }
            Err(failure) => {
                if !failure.may_run() {
                    guard.settle();
                }
                AttemptEnd::Failed(failure)
            }
        }
    }

    /// A resumed stream goes by the name of its first attempt at the engine. When the request goes
    /// on elsewhere instead, the engine that held it is told to stop.
    fn target_of(&mut self, assignment: &Assignment) -> EngineTarget {
        let broken = self.broken.take();
        let engine_attempt = match assignment.resume {
            Some(ResumePoint::SameEngine { attempt, .. }) => match broken {
                Some(broken) if broken.attempt == attempt => broken.engine_attempt,
                _ => attempt,
            },
            _ => {
                // Plain services know no attempts.
                if let Some(broken) = broken
                    && self.payload.kind != PayloadKind::Service
                {
                    self.worker.link.cancel(broken);
                }
                assignment.attempt
            }
        };
        EngineTarget {
            address: assignment.address,
            attempt: assignment.attempt,
            engine_attempt,
        }
    }

    fn report_failure(&mut self, attempt: AttemptId, failure: &AttemptFailure) {
        self.session.attempt_ended(
            attempt,
            failure.outcome(),
            failure.observation,
            Some(failure.error.to_string()),
        );
    }

    /// Ends a request that the dispatcher would go on with: its answer cannot be continued by
    /// another engine, or its claim may have lapsed.
    fn give_up(&mut self, reason: RefusalReason, run_state: RunState) -> NextAnswer {
        self.session.abandon();
        let outcome = FinalOutcome::Refused(Refusal {
            reason,
            run_state,
            retry_after: None,
        });
        self.session.set_outcome(outcome);
        NextAnswer::Finished {
            outcome,
            rejection: None,
        }
    }
}

/// Waits until the dispatcher no longer wants the attempt.
async fn wait_for_end(session: &mut RequestSession, attempt: AttemptId) -> AttemptEnd {
    loop {
        match session.next_command().await {
            RequestCommand::Cancel(cancelled) if cancelled == attempt => {
                return AttemptEnd::Cancelled;
            }
            RequestCommand::Finish(outcome) => return AttemptEnd::Finished(outcome),
            RequestCommand::Cancel(_) | RequestCommand::Start(_) => {}
        }
    }
}
