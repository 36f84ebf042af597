//! Retries and resumption after an attempt has ended.

use std::time::Duration;

use crate::dispatch::attempt_record::AttemptRecord;
use crate::dispatch::choice::Choice;
use crate::dispatch::{
    AttemptOutcome, DispatchAction, FinalOutcome, NotRunReason, RefusalReason, ResumePoint,
    RunState,
};
use crate::identity::{AttemptId, RequestId};
use crate::placement::EngineKey;
use crate::timestamp::Timestamp;

use super::Dispatcher;

impl Dispatcher {
    /// Finishes, resumes, retries or refuses the request, depending on the outcome of its attempt.
    pub(super) fn finish_or_retry(
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
                // After a mismatch the next attempt requires the incarnation just observed, so the
                // engine may be tried again.
                if reason != NotRunReason::IncarnationMismatch || ended.resumes.is_some() {
                    record.failed_engines.insert(ended.engine);
                }
                self.retry_or_refuse(request, now, actions);
            }
            AttemptOutcome::Broken { chunks } => {
                record.record_run_state(RunState::Ran);
                record.delivered_chunks = record.delivered_chunks.max(chunks);
                self.resume_or_retry(request, attempt, ended, now, actions);
            }
            AttemptOutcome::Unknown => {
                record.record_run_state(RunState::Unknown);
                self.resume_or_retry(request, attempt, ended, now, actions);
            }
        }
    }

    /// Resumes an interrupted stream from the same incarnation, which does not run the request
    /// again. If that has failed before or is not possible, retries the request on another engine.
    fn resume_or_retry(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        ended: AttemptRecord,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = self.requests.get_mut(&request).expect("request is known");
        record.failed_engines.insert(ended.engine);
        let back_end = self.snapshot.catalog.back_ends.get(&ended.back_end);
        let is_same_process = |engine: EngineKey| {
            let known = self.engines.get(engine)?.incarnation();
            (known == ended.incarnation).then_some(())
        };
        let can_resume = record.weights_version.is_some()
            && record.attempts_made < self.parameters.max_attempts
            && ended.resumes.is_none()
            && ended.incarnation.is_some()
            && is_same_process(ended.engine).is_some();
        let Some(back_end) = back_end.filter(|_| can_resume) else {
            self.retry_or_refuse(request, now, actions);
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

    fn retry_or_refuse(
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
                .time_to_next_retry()
                .max(self.parameters.no_back_end_retry_after);
            self.refuse(
                request,
                RefusalReason::AttemptsExhausted,
                retry_after,
                actions,
            );
        }
    }
}
