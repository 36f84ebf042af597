//! Router processes of a simulated cluster.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{
    Assignment, DispatchAction, DispatchEvent, FinalOutcome, Priority, Repeatability,
    RequestProfile, ResumePoint,
};
use ryerouter_core::identity::{AttemptId, IdempotencyKey, RequestId};
use ryerouter_core::prompt::PrefixChain;

use super::attempt_state::AttemptState;
use super::cluster_event::ClusterEvent;
use super::open_request::OpenRequest;
use super::simulated_cluster::SimulatedCluster;
use crate::engine_model::EngineRequest;
use crate::workload::{GeneratedRequest, GeneratedWork, ModelPrompt};

/// How often a router process looks at its queue while requests wait in it.
const TICK: Duration = Duration::from_millis(10);

impl SimulatedCluster {
    pub(super) fn request_arrives(&mut self, request: usize, now: Timestamp) {
        self.arrived += 1;
        let generated = &self.workload.requests[request];
        let node = generated.session.0 as usize % self.deployment.nodes.len();
        if self.measurements.covers(generated.sent_at) {
            self.measurements.requests += 1;
        }
        let open = OpenRequest {
            node,
            request,
            attempts_under_way: 0,
            has_first_token: false,
        };
        let profile = self.profile(generated, now);
        self.open.insert(generated.request.clone(), open);
        self.waiting_at_node[node] += 1;
        self.node_receives(node, DispatchEvent::Submitted(Box::new(profile)), now);
    }

    pub(super) fn profile(&self, generated: &GeneratedRequest, now: Timestamp) -> RequestProfile {
        let repeatability = if generated.at_most_once {
            Repeatability::AtMostOnce(IdempotencyKey::new(generated.request.as_str()))
        } else {
            Repeatability::Repeatable
        };
        let (pool, prefix, prompt_tokens, output_tokens, priority) = match &generated.work {
            GeneratedWork::Model(prompt) => (
                self.deployment.model_pool.clone(),
                prompt.prefix.clone(),
                prompt.prompt_tokens,
                prompt.output_tokens,
                prompt.priority,
            ),
            GeneratedWork::Service => (
                self.deployment.service_pool.clone(),
                PrefixChain::default(),
                0,
                0,
                Priority::Interactive,
            ),
        };
        RequestProfile {
            request: generated.request.clone(),
            tenant: generated.tenant.clone(),
            pool,
            prefix,
            prompt_tokens,
            expected_output_tokens: output_tokens,
            priority,
            deadline: generated
                .patience
                .map(|patience| generated.sent_at.after(patience)),
            repeatability,
            arrived_at: now,
        }
    }

    pub(super) fn node_receives(&mut self, node: usize, event: DispatchEvent, now: Timestamp) {
        if let DispatchEvent::FirstToken { attempt } = event {
            self.note_first_token(attempt, now);
        }
        if let DispatchEvent::AttemptEnded { attempt, .. } = event {
            self.note_attempt_ended(attempt);
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.router
            .handle(node, event, now, &self.engines, &mut actions);
        for action in actions.drain(..) {
            self.perform(node, action, now);
        }
        self.actions = actions;
        self.schedule_tick(node, now);
    }

    pub(super) fn note_first_token(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let generated = &self.workload.requests[state.request];
        let Some(open) = self.open.get_mut(&generated.request) else {
            return;
        };
        let GeneratedWork::Model(prompt) = &generated.work else {
            return;
        };
        if open.has_first_token {
            return;
        }
        open.has_first_token = true;
        if self.measurements.covers(generated.sent_at) {
            let client = Duration::from_micros(self.scenario.network.client_micros);
            let wait = now.since(generated.sent_at) + client;
            self.measurements.first_token(prompt.priority, wait);
        }
    }

    pub(super) fn note_attempt_ended(&mut self, attempt: AttemptId) {
        let Some(state) = self.attempts.remove(&attempt) else {
            return;
        };
        let request = &self.workload.requests[state.request].request;
        if let Some(open) = self.open.get_mut(request) {
            open.attempts_under_way -= 1;
            if open.attempts_under_way == 0 {
                self.waiting_at_node[open.node] += 1;
            }
        }
    }

    pub(super) fn node_ticks(&mut self, node: usize, now: Timestamp) {
        self.tick_scheduled[node] = false;
        self.node_receives(node, DispatchEvent::Tick, now);
    }

    pub(super) fn schedule_tick(&mut self, node: usize, now: Timestamp) {
        if self.waiting_at_node[node] > 0 && !self.tick_scheduled[node] {
            self.tick_scheduled[node] = true;
            self.schedule(now.after(TICK), ClusterEvent::NodeTicks { node });
        }
    }

    pub(super) fn perform(&mut self, node: usize, action: DispatchAction, now: Timestamp) {
        match action {
            DispatchAction::Start {
                request,
                assignment,
            } => self.start_attempt(node, &request, &assignment, now),
            DispatchAction::Cancel { attempt } => self.cancel_attempt(attempt, now),
            DispatchAction::Finish { request, outcome } => self.finish(&request, outcome, now),
            // Tenants have no limits in a comparison.
            DispatchAction::SendLimit(_) => {}
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        node: usize,
        request: &RequestId,
        assignment: &Assignment,
        now: Timestamp,
    ) {
        let open = self
            .open
            .get_mut(request)
            .expect("only open requests are attempted");
        if open.attempts_under_way == 0 {
            self.waiting_at_node[node] -= 1;
        }
        open.attempts_under_way += 1;
        let number = open.request;
        let back_end = self.deployment.number(&assignment.back_end);
        let state = AttemptState {
            node,
            request: number,
            back_end,
            chunks: 0,
        };
        self.attempts.insert(assignment.attempt, state);
        self.note_trace(now, number as u64, back_end as u64);
        let at = now.after(self.delay(node, back_end));
        let generated = &self.workload.requests[number];
        if self.measurements.covers(generated.sent_at) {
            self.measurements.attempts += 1;
        }
        match &generated.work {
            GeneratedWork::Service => {
                let attempt = assignment.attempt;
                self.schedule(at, ClusterEvent::ServiceReceives { back_end, attempt });
            }
            GeneratedWork::Model(prompt) => {
                let request = Box::new(engine_request(prompt, assignment));
                self.judge_placement(number, back_end);
                self.schedule(
                    at,
                    ClusterEvent::EngineReceives {
                        engine: back_end,
                        request,
                    },
                );
            }
        }
    }

    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(state) = self.attempts.get(&attempt).cloned() else {
            return;
        };
        let at = now.after(self.delay(state.node, state.back_end));
        if state.back_end < self.engines.len() {
            let engine = state.back_end;
            self.schedule(at, ClusterEvent::EngineCancels { engine, attempt });
        }
    }

    pub(super) fn finish(&mut self, request: &RequestId, outcome: FinalOutcome, now: Timestamp) {
        let Some(open) = self.open.remove(request) else {
            return;
        };
        if open.attempts_under_way == 0 {
            self.waiting_at_node[open.node] -= 1;
        }
        self.note_trace(now, open.request as u64, u64::MAX);
        let generated = &self.workload.requests[open.request];
        let generated_work = &generated.work;
        if !self.measurements.covers(generated.sent_at) {
            return;
        }
        match outcome {
            FinalOutcome::Completed => self.measurements.completed += 1,
            FinalOutcome::Cancelled => {}
            FinalOutcome::Refused(refusal) => {
                self.measurements.refused(refusal.reason);
                // A refused caller counts as one that waited for as long as it could.
                if let (GeneratedWork::Model(prompt), Some(patience), false) =
                    (generated_work, generated.patience, open.has_first_token)
                {
                    self.measurements.first_token(prompt.priority, patience);
                }
            }
        }
    }

    /// Ends the run: requests that are still open count as waiting until now.
    pub(super) fn end(&mut self, now: Timestamp) {
        for open in std::mem::take(&mut self.open).into_values() {
            let generated = &self.workload.requests[open.request];
            if !self.measurements.covers(generated.sent_at) {
                continue;
            }
            self.measurements.unfinished += 1;
            if let (GeneratedWork::Model(prompt), false) = (&generated.work, open.has_first_token) {
                let wait = now.since(generated.sent_at);
                self.measurements.first_token(prompt.priority, wait);
            }
        }
    }
}

fn engine_request(prompt: &ModelPrompt, assignment: &Assignment) -> EngineRequest {
    let delivered = match assignment.resume {
        Some(ResumePoint::Continue { delivered_chunks }) => delivered_chunks as u32,
        Some(ResumePoint::SameEngine { next_chunk, .. }) => next_chunk as u32,
        None => 0,
    };
    EngineRequest {
        attempt: assignment.attempt,
        prefix: prompt.prefix.clone(),
        prompt_tokens: prompt.prompt_tokens + delivered,
        output_tokens: prompt.output_tokens,
        first_chunk: delivered,
        priority: prompt.priority,
        incarnation: assignment.incarnation,
        weights_version: assignment.weights_version,
        kv_import: None,
        kv_export: None,
    }
}
