//! Engines of a simulated cluster.

use std::time::Duration;

use rand::Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{AttemptOutcome, DispatchEvent, EngineObservation, NotRunReason};
use ryerouter_core::identity::AttemptId;

use super::cluster_event::ClusterEvent;
use super::simulated_cluster::{PERMILLE, SimulatedCluster};
use crate::engine_model::{EngineEvent, EngineOutput, EngineRequest};

impl SimulatedCluster {
    pub(super) fn engine_receives(
        &mut self,
        engine: usize,
        request: Box<EngineRequest>,
        now: Timestamp,
    ) {
        if self.engines[engine].down {
            let outcome = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
            self.end_attempt(request.attempt, outcome, None, now);
            return;
        }
        self.engine_handles(engine, EngineEvent::Submit(request), now);
    }

    pub(super) fn engine_wakes(&mut self, engine: usize, now: Timestamp) {
        if self.engines[engine].wake_at == Some(now) {
            self.engines[engine].wake_at = None;
            self.engine_handles(engine, EngineEvent::Wake, now);
        }
    }

    pub(super) fn engine_handles(&mut self, engine: usize, event: EngineEvent, now: Timestamp) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engines[engine].model.handle(event, now, &mut outputs);
        for output in outputs.drain(..) {
            self.engine_says(engine, output, now);
        }
        self.outputs = outputs;
        self.schedule_wake(engine);
    }

    pub(super) fn schedule_wake(&mut self, engine: usize) {
        let next = self.engines[engine].model.next_wake();
        if next == self.engines[engine].wake_at {
            return;
        }
        self.engines[engine].wake_at = next;
        if let Some(at) = next {
            self.schedule(at, ClusterEvent::EngineWakes { engine });
        }
    }

    pub(super) fn engine_says(&mut self, engine: usize, output: EngineOutput, now: Timestamp) {
        match output {
            EngineOutput::Refused { attempt, reason } => {
                let observation = self.engines[engine].model.status().observation();
                let outcome = AttemptOutcome::NotRun(reason);
                self.end_attempt(attempt, outcome, Some(observation), now);
            }
            EngineOutput::Accepted { attempt } => self.answer_starts(engine, attempt, now),
            EngineOutput::Chunk { attempt, .. } => self.chunk_leaves(attempt, now),
            EngineOutput::Finished {
                attempt,
                prompt_tokens,
                cached_tokens,
                ..
            } => self.answer_ends(engine, attempt, prompt_tokens, cached_tokens, now),
            EngineOutput::Lost { attempt } => self.answer_breaks(attempt, now),
            EngineOutput::Cancelled { attempt } => {
                self.end_attempt(attempt, AttemptOutcome::Cancelled, None, now);
            }
            EngineOutput::Computed { hash, tokens } => {
                self.measurements.computed(hash, tokens, now)
            }
            EngineOutput::Stored { hash, .. } => self.measurements.waste.stored(hash),
            EngineOutput::Evicted { hash, .. } => self.measurements.waste.evicted(hash),
            EngineOutput::Started { .. }
            | EngineOutput::Exported { .. }
            | EngineOutput::WeightsLoaded { .. } => {}
        }
    }

    pub(super) fn answer_starts(&mut self, engine: usize, attempt: AttemptId, now: Timestamp) {
        let observation = self.engines[engine].model.status().observation();
        self.tell_node(
            attempt,
            now,
            DispatchEvent::AnswerStarted {
                attempt,
                observation,
            },
        );
    }

    pub(super) fn chunk_leaves(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        state.chunks += 1;
        self.measurements.answered(now);
        if state.chunks == 1 {
            self.tell_node(attempt, now, DispatchEvent::FirstToken { attempt });
        }
    }

    pub(super) fn answer_ends(
        &mut self,
        engine: usize,
        attempt: AttemptId,
        prompt_tokens: u32,
        cached_tokens: u32,
        now: Timestamp,
    ) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let sent_at = self.workload.requests[state.request].sent_at;
        if self.measurements.covers(sent_at) {
            self.measurements.prompt_tokens += u64::from(prompt_tokens);
            self.measurements.cached_tokens += u64::from(cached_tokens);
        }
        let observation = EngineObservation {
            cached_tokens: Some(cached_tokens),
            prompt_tokens: Some(prompt_tokens),
            ..self.engines[engine].model.status().observation()
        };
        self.end_attempt(attempt, AttemptOutcome::Completed, Some(observation), now);
    }

    pub(super) fn answer_breaks(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let outcome = match state.chunks {
            0 => AttemptOutcome::Unknown,
            chunks => AttemptOutcome::Broken { chunks },
        };
        self.end_attempt(attempt, outcome, None, now);
    }

    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        now: Timestamp,
    ) {
        self.tell_node(
            attempt,
            now,
            DispatchEvent::AttemptEnded {
                attempt,
                outcome,
                observation,
            },
        );
    }

    pub(super) fn tell_node(&mut self, attempt: AttemptId, now: Timestamp, event: DispatchEvent) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let node = state.node;
        let back_end = state.back_end;
        let at = now.after(self.delay_without_jitter(node, back_end));
        self.schedule(at, ClusterEvent::NodeReceives { node, event });
    }

    pub(super) fn engine_crashes(&mut self, engine: usize, back_at: Timestamp, now: Timestamp) {
        for hash in self.engines[engine].model.cache().hashes() {
            self.measurements.waste.crashed(hash);
        }
        self.engines[engine].down = true;
        let incarnation = self.engines[engine].model.status().incarnation.next();
        self.engine_handles(engine, EngineEvent::Restart { incarnation }, now);
        self.schedule(back_at, ClusterEvent::EngineReturns { engine });
    }

    pub(super) fn engine_reports(&mut self, engine: usize, now: Timestamp) {
        let interval = self.report_interval();
        if now < Timestamp::ZERO.after(self.scenario.duration()) {
            self.schedule(now.after(interval), ClusterEvent::EngineReports { engine });
        }
        if self.engines[engine].down {
            return;
        }
        let observation = self.engines[engine].model.status().observation();
        let lag = Duration::from_millis(self.scenario.load_reports.lag_millis);
        let back_end = self.deployment.name(engine).clone();
        for node in 0..self.deployment.nodes.len() {
            let loss = self.scenario.load_reports.loss_permille;
            if self.network.random_range(0..PERMILLE) < loss {
                continue;
            }
            let event = DispatchEvent::LoadReported {
                back_end: back_end.clone(),
                observation,
            };
            let event = ClusterEvent::NodeReceives { node, event };
            self.schedule(now.after(lag), event);
        }
    }
}
