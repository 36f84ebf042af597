//! Final outcomes of requests.

use std::time::Duration;

use crate::dispatch::{
    AttemptOutcome, DispatchAction, FinalOutcome, Refusal, RefusalReason, RunState,
};
use crate::identity::RequestId;
use crate::timestamp::Timestamp;

use super::Dispatcher;

impl Dispatcher {
    pub(super) fn cancel(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(record) = self.requests.get(&request) else {
            self.cancel_waiting(request, actions);
            return;
        };
        let pool_name = record.profile.pool.clone();
        if let Some(attempt) = record.running_attempt {
            if let Some(ended) = self.attempts.remove(&attempt) {
                self.release_capacity(&ended);
                self.record_health(&ended, AttemptOutcome::Cancelled, now);
            }
            actions.push(DispatchAction::Cancel { attempt });
        } else {
            let tenant = record.profile.tenant.clone();
            let pool = self.pools.get_mut(&pool_name).expect("pool is known");
            pool.queue.remove(&tenant, &request);
            self.remove_queue_expiry(&request);
        }
        self.finish(request, FinalOutcome::Cancelled, actions);
        self.serve_queue(&pool_name, now, actions);
    }

    /// Cancels a request that waits for permits of its tenant.
    fn cancel_waiting(&mut self, request: RequestId, actions: &mut Vec<DispatchAction>) {
        let waited = self
            .tenant_limiter
            .as_mut()
            .is_some_and(|limiter| limiter.cancel(&request));
        if waited {
            let outcome = FinalOutcome::Cancelled;
            actions.push(DispatchAction::Finish { request, outcome });
        }
    }

    pub(super) fn refuse_without_engine(
        &mut self,
        request: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let reason = if self.requests[&request].attempts_made > 0 {
            RefusalReason::AttemptsExhausted
        } else {
            RefusalReason::NoBackEnd
        };
        let retry_after = self.parameters.no_back_end_retry_after;
        self.refuse(request, reason, retry_after, actions);
    }

    /// Finishes a request with a refusal. The refusal contains `retry_after` only if a retry can
    /// succeed and the request certainly did not run.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Duration,
        actions: &mut Vec<DispatchAction>,
    ) {
        let run_state = self.requests[&request].run_state;
        let may_succeed_later = reason != RefusalReason::Rejected;
        let refusal = Refusal {
            reason,
            run_state,
            retry_after: (may_succeed_later && run_state == RunState::NotRun)
                .then_some(retry_after),
        };
        self.finish(request, FinalOutcome::Refused(refusal), actions);
    }

    pub(super) fn finish(
        &mut self,
        request: RequestId,
        outcome: FinalOutcome,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.requests.remove(&request);
        actions.push(finish(request, outcome));
    }
}

/// Refuses a request that was not accepted into the dispatcher.
pub(super) fn refuse_unadmitted(request: RequestId, reason: RefusalReason) -> DispatchAction {
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
