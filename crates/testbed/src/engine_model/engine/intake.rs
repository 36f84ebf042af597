//! Requests that enter or leave an engine before they finish.

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::NotRunReason;
use ryerouter_core::identity::{AttemptId, Incarnation};

use super::EngineModel;
use crate::engine_model::waiting_request::WaitingRequest;
use crate::engine_model::{EngineOutput, EngineRequest};

impl EngineModel {
    /// Takes a request in, or refuses it.
    pub(super) fn submit(
        &mut self,
        mut request: EngineRequest,
        now: Timestamp,
        out: &mut Vec<EngineOutput>,
    ) {
        request.normalise();
        let attempt = request.attempt;
        if let Some(reason) = self.refusal(&request) {
            out.push(EngineOutput::Refused { attempt, reason });
            return;
        }
        out.push(EngineOutput::Accepted { attempt });
        self.waiting.push(WaitingRequest {
            request,
            arrived_at: now,
        });
    }

    fn refusal(&self, request: &EngineRequest) -> Option<NotRunReason> {
        if request
            .incarnation
            .is_some_and(|wanted| wanted != self.incarnation)
        {
            return Some(NotRunReason::IncarnationMismatch);
        }
        if request
            .weights_version
            .is_some_and(|wanted| wanted != self.weights_version)
        {
            return Some(NotRunReason::WeightsMismatch);
        }
        if self.refuses_work() {
            return Some(NotRunReason::Draining);
        }
        if self.never_fits(request) || self.knows(request.attempt) {
            return Some(NotRunReason::Rejected);
        }
        if self.waiting.len() as u32 >= self.profile.max_waiting {
            return Some(NotRunReason::Overloaded);
        }
        None
    }

    fn never_fits(&self, request: &EngineRequest) -> bool {
        let needed = request.prompt_tokens.saturating_add(request.output_tokens);
        needed > self.profile.kv_capacity_tokens
    }

    fn knows(&self, attempt: AttemptId) -> bool {
        let waits = self
            .waiting
            .iter()
            .any(|waiting| waiting.request.attempt == attempt);
        waits
            || self
                .running
                .iter()
                .any(|sequence| sequence.request.attempt == attempt)
    }

    /// Drops an attempt that waits or runs; an unknown one is ignored.
    pub(super) fn cancel(&mut self, attempt: AttemptId, out: &mut Vec<EngineOutput>) {
        let waited = self.waiting.remove(attempt).is_some();
        let index = self
            .running
            .iter()
            .position(|sequence| sequence.request.attempt == attempt);
        if let Some(index) = index {
            let sequence = self.running.remove(index);
            self.release(&sequence);
        }
        if waited || index.is_some() {
            out.push(EngineOutput::Cancelled { attempt });
        }
    }

    /// Loses all requests and the cache and goes on as another incarnation.
    pub(super) fn restart(&mut self, incarnation: Incarnation, out: &mut Vec<EngineOutput>) {
        for waiting in self.waiting.take_all() {
            let attempt = waiting.request.attempt;
            out.push(EngineOutput::Lost { attempt });
        }
        for sequence in self.running.drain(..) {
            let attempt = sequence.request.attempt;
            out.push(EngineOutput::Lost { attempt });
        }
        *self = Self::new(self.profile.clone(), incarnation, self.weights_version);
    }
}
