//! Back ends in the simulation.

use std::time::Duration;

use ryerouter_core::dispatch::{EngineObservation, NotRunReason};
use ryerouter_core::identity::{AttemptId, Incarnation, WeightsVersion};

use super::back_end_process::{AttemptRefusal, RunningAttempt};
use super::cluster::node_endpoint;
use super::{AttemptCall, AttemptKind, Cluster, ClusterEvent, ClusterLayout, Endpoint, ProcessId};
use crate::oracle::Observation;

/// Time from a request's arrival to its first chunk when nothing is cached.
const PREFILL: Duration = Duration::from_millis(250);
/// Time from a request's arrival to its first chunk when its prefix is cached.
const CACHED_PREFILL: Duration = Duration::from_millis(60);
/// Time between chunks.
const CHUNK_INTERVAL: Duration = Duration::from_millis(90);
/// Time between looks whether a frozen process goes on.
const THAW_CHECK: Duration = Duration::from_millis(100);
/// How long an attempt that nobody reads is kept.
const RESUME_WINDOW: Duration = Duration::from_secs(2);

impl Cluster {
    pub(super) fn attempt_arrives(&mut self, process: ProcessId, mut call: AttemptCall) {
        if !self.back_ends[call.back_end].alive {
            self.refuse_attempt(process, &call, NotRunReason::ConnectFailed, false);
            return;
        }
        self.note_offer(process, &call);
        if self.back_ends[call.back_end].frozen {
            // What was written to its socket is read when it goes on, whoever still waits.
            call.lies_in_socket = true;
            let call = Box::new(call);
            self.schedule(THAW_CHECK, ClusterEvent::AttemptArrives { process, call });
            return;
        }
        self.take_attempt(process, call);
    }

    fn note_offer(&mut self, process: ProcessId, call: &AttemptCall) {
        if call.lies_in_socket || matches!(call.kind, AttemptKind::Resume { .. }) {
            return;
        }
        self.observe(Observation::WorkOffered {
            node: ClusterLayout::node_name(process.node),
            back_end: self.back_ends[call.back_end].name.clone(),
        });
    }

    fn take_attempt(&mut self, process: ProcessId, call: AttemptCall) {
        if let AttemptKind::Resume {
            earlier,
            next_chunk,
        } = call.kind
        {
            self.resume_attempt(process, &call, earlier, next_chunk);
            return;
        }
        let back_end = &self.back_ends[call.back_end];
        let refusal = back_end.check(call.incarnation, call.weights_version);
        match refusal.err() {
            Some(refusal) => {
                self.refuse_attempt(process, &call, not_run_reason(refusal), true);
            }
            None => self.run_attempt(process, call),
        }
    }

    fn refuse_attempt(
        &mut self,
        process: ProcessId,
        call: &AttemptCall,
        reason: NotRunReason,
        answered: bool,
    ) {
        let from = Endpoint::BackEnd(call.back_end);
        // A refusal that is lost on its way looks like silence, which the node notices by itself.
        let Some(delay) = self.network.stream(from, node_endpoint(process)) else {
            return;
        };
        let observation = answered.then(|| self.observation(call.back_end, None));
        let attempt = call.attempt;
        let event = ClusterEvent::AttemptNotRun {
            process,
            attempt,
            reason,
            observation,
        };
        self.schedule(delay, event);
    }

    fn run_attempt(&mut self, process: ProcessId, call: AttemptCall) {
        let index = call.back_end;
        let back_end = &mut self.back_ends[index];
        let incarnation = back_end.incarnation;
        let cached = back_end.longest_cached(&call.chain);
        back_end.keep(&call.chain, &call.tenant);
        let cached_tokens = cached.as_ref().map_or(0, |(_, tokens)| *tokens);
        let next_chunk = match call.kind {
            AttemptKind::Continue { next_chunk } => next_chunk,
            AttemptKind::Fresh | AttemptKind::Resume { .. } => 0,
        };
        back_end.attempts.insert(
            call.attempt.0,
            RunningAttempt {
                submission: call.submission,
                next_chunk,
                chunks: call.chunks,
                reader: Some(process),
                cancelled: false,
                cached_tokens,
                prompt_tokens: call.chain.last().map_or(0, |(_, tokens)| *tokens),
            },
        );
        let name = back_end.name.clone();
        self.observe(Observation::ExecutionStarted {
            submission: call.submission,
            back_end: name.clone(),
            incarnation,
        });
        self.observe_reliance(&call, name, incarnation, cached.map(|(entry, _)| entry));
        self.send_head(process, index, call.attempt);
        let wait = if cached_tokens > 0 {
            CACHED_PREFILL
        } else {
            PREFILL
        };
        let attempt = call.attempt;
        self.schedule(
            wait,
            ClusterEvent::ChunkDue {
                back_end: index,
                incarnation,
                attempt,
            },
        );
    }

    /// Reports on what cache an attempt relies: entries the engine found, or what the node counted
    /// on.
    fn observe_reliance(
        &mut self,
        call: &AttemptCall,
        back_end: String,
        actual_incarnation: u64,
        entry: Option<super::back_end_process::CachedPrefix>,
    ) {
        if entry.is_none() && call.expected_cached_tokens == 0 {
            return;
        }
        let current_weights = self.back_ends[call.back_end].weights_version;
        let relied_incarnation = match (call.expected_cached_tokens, call.incarnation) {
            (0, relied) => relied,
            (_, relied) => Some(relied.unwrap_or_default()),
        };
        self.observe(Observation::CacheRelied {
            submission: call.submission,
            back_end,
            actual_incarnation,
            relied_incarnation,
            tenant: call.tenant.clone(),
            entry_tenant: entry
                .as_ref()
                .map_or_else(|| call.tenant.clone(), |entry| entry.tenant.clone()),
            entry_weights: entry.map_or(current_weights, |entry| entry.weights_version),
            current_weights,
        });
    }

    fn send_head(&mut self, process: ProcessId, back_end: usize, attempt: AttemptId) {
        let observation = self.observation(back_end, None);
        if let Some(delay) = self
            .network
            .stream(Endpoint::BackEnd(back_end), node_endpoint(process))
        {
            self.schedule(
                delay,
                ClusterEvent::HeadArrives {
                    process,
                    attempt,
                    observation,
                },
            );
        }
    }

    fn resume_attempt(
        &mut self,
        process: ProcessId,
        call: &AttemptCall,
        earlier: AttemptId,
        next_chunk: u64,
    ) {
        let incarnation_fits = call
            .incarnation
            .is_none_or(|wanted| wanted == self.back_ends[call.back_end].incarnation);
        let back_end = &mut self.back_ends[call.back_end];
        let Some(mut running) = back_end
            .attempts
            .remove(&earlier.0)
            .filter(|running| incarnation_fits && !running.cancelled)
        else {
            self.refuse_attempt(process, call, NotRunReason::IncarnationMismatch, true);
            return;
        };
        running.next_chunk = next_chunk;
        running.reader = Some(process);
        back_end.attempts.insert(call.attempt.0, running);
        let incarnation = back_end.incarnation;
        self.send_head(process, call.back_end, call.attempt);
        let event = ClusterEvent::ChunkDue {
            back_end: call.back_end,
            incarnation,
            attempt: call.attempt,
        };
        self.schedule(CHUNK_INTERVAL, event);
    }

    pub(super) fn chunk_due(&mut self, back_end: usize, incarnation: u64, attempt: AttemptId) {
        let process = &mut self.back_ends[back_end];
        if !process.alive || process.incarnation != incarnation {
            return;
        }
        let due_again = ClusterEvent::ChunkDue {
            back_end,
            incarnation,
            attempt,
        };
        if process.frozen {
            self.schedule(CHUNK_INTERVAL, due_again);
            return;
        }
        let Some(running) = process.attempts.get_mut(&attempt.0) else {
            return;
        };
        let Some(reader) = running.reader else { return };
        let index = running.next_chunk;
        let answers = running.submission;
        if running.cancelled || index >= running.chunks {
            return;
        }
        running.next_chunk += 1;
        let ended = running.next_chunk >= running.chunks;
        let path = self
            .network
            .stream(Endpoint::BackEnd(back_end), node_endpoint(reader));
        let Some(delay) = path else {
            // What is written to a cut connection stays in its buffer; nobody reads it.
            self.back_ends[back_end]
                .attempts
                .get_mut(&attempt.0)
                .expect("just seen")
                .reader = None;
            self.schedule(
                RESUME_WINDOW,
                ClusterEvent::ResumeWindowEnds {
                    back_end,
                    incarnation,
                    attempt,
                },
            );
            return;
        };
        let event = ClusterEvent::ChunkArrives {
            process: reader,
            attempt,
            index,
            answers,
        };
        self.schedule(delay, event);
        if ended {
            self.send_end(reader, back_end, attempt, delay);
        } else {
            self.schedule(CHUNK_INTERVAL, due_again);
        }
    }

    fn send_end(
        &mut self,
        reader: ProcessId,
        back_end: usize,
        attempt: AttemptId,
        delay: Duration,
    ) {
        let ended = self.back_ends[back_end].attempts.remove(&attempt.0);
        let observation = self.observation(back_end, ended.as_ref());
        let event = ClusterEvent::EndArrives {
            process: reader,
            attempt,
            observation,
        };
        self.schedule(delay, event);
        self.stop_back_end_when_idle(back_end);
    }

    /// What a back end says of itself.
    fn observation(&self, index: usize, ended: Option<&RunningAttempt>) -> EngineObservation {
        let back_end = &self.back_ends[index];
        EngineObservation {
            incarnation: Incarnation(back_end.incarnation),
            weights_version: WeightsVersion(back_end.weights_version),
            running: back_end.running() as u32,
            waiting: 0,
            queued_tokens: None,
            draining: back_end.draining,
            cached_tokens: ended.map(|attempt| attempt.cached_tokens),
            prompt_tokens: ended.map(|attempt| attempt.prompt_tokens),
        }
    }

    pub(super) fn cancel_arrives(&mut self, back_end: usize, attempt: AttemptId) {
        self.back_ends[back_end].attempts.remove(&attempt.0);
        self.stop_back_end_when_idle(back_end);
    }

    pub(super) fn connection_closed(&mut self, back_end: usize, attempt: AttemptId) {
        let process = &mut self.back_ends[back_end];
        let incarnation = process.incarnation;
        let Some(running) = process.attempts.get_mut(&attempt.0) else {
            return;
        };
        running.reader = None;
        self.schedule(
            RESUME_WINDOW,
            ClusterEvent::ResumeWindowEnds {
                back_end,
                incarnation,
                attempt,
            },
        );
    }

    pub(super) fn resume_window_ends(
        &mut self,
        back_end: usize,
        incarnation: u64,
        attempt: AttemptId,
    ) {
        let process = &mut self.back_ends[back_end];
        let unread = process
            .attempts
            .get(&attempt.0)
            .is_some_and(|running| running.reader.is_none());
        if process.incarnation == incarnation && unread {
            process.attempts.remove(&attempt.0);
            self.stop_back_end_when_idle(back_end);
        }
    }

    /// Ends a back end at once; its readers see their connections break.
    pub(super) fn crash_back_end(&mut self, index: usize, away: Duration) {
        let back_end = &mut self.back_ends[index];
        if !back_end.alive {
            return;
        }
        let readers: Vec<(ProcessId, AttemptId)> = back_end
            .attempts
            .iter()
            .filter_map(|(attempt, running)| Some((running.reader?, AttemptId(*attempt))))
            .collect();
        back_end.crash();
        for (process, attempt) in readers {
            if let Some(delay) = self
                .network
                .stream(Endpoint::BackEnd(index), node_endpoint(process))
            {
                let event = ClusterEvent::ConnectionBreaks {
                    process,
                    attempt,
                    silent_since_chunk: None,
                };
                self.schedule(delay + Duration::from_millis(2), event);
            }
        }
        self.schedule(away, ClusterEvent::BackEndStarts { back_end: index });
    }

    pub(super) fn start_back_end(&mut self, index: usize) {
        let back_end = &mut self.back_ends[index];
        if back_end.alive {
            return;
        }
        back_end.start();
    }

    /// Ends a back end whose planned stop has nothing left to finish.
    pub(super) fn stop_back_end_when_idle(&mut self, index: usize) {
        let back_end = &self.back_ends[index];
        if back_end.alive && back_end.draining && back_end.attempts.is_empty() {
            self.crash_back_end(index, Duration::from_secs(1));
        }
    }
}

fn not_run_reason(refusal: AttemptRefusal) -> NotRunReason {
    match refusal {
        AttemptRefusal::IncarnationMismatch => NotRunReason::IncarnationMismatch,
        AttemptRefusal::WeightsMismatch => NotRunReason::WeightsMismatch,
        AttemptRefusal::Draining => NotRunReason::Draining,
        AttemptRefusal::Overloaded => NotRunReason::Overloaded,
    }
}
