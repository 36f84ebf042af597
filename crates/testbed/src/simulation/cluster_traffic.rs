//! Router processes' traffic in the simulation.

use std::time::Duration;

use ryerouter_core::control::ControlEvent;
use ryerouter_core::dispatch::{
    Assignment, AttemptOutcome, DispatchAction, DispatchEvent, EngineObservation, FinalOutcome,
    NotRunReason, Priority, Refusal, Repeatability, RequestProfile, ResumePoint, RunState,
};
use ryerouter_core::identity::{AttemptId, Incarnation, RequestId};

use super::cluster::node_endpoint;
use super::router_process::{AttemptProgress, SubmissionProgress};
use super::{
    AttemptCall, AttemptKind, Cluster, ClusterEvent, ClusterLayout, Endpoint, Mutation, ProcessId,
};
use crate::oracle::{Observation, ReportedRunState};

/// Time after which connecting to a back end counts as failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a silent connection counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

impl Cluster {
    /// Hands an admitted submission to the dispatcher.
    pub(super) fn dispatch_submission(&mut self, process: ProcessId, submission: u64) {
        let profile = self.request_profile(process, submission);
        self.dispatch(process, DispatchEvent::Submitted(Box::new(profile)));
    }

    fn request_profile(&mut self, process: ProcessId, submission: u64) -> RequestProfile {
        let asked = self.submissions[&submission].clone();
        let prefix = self.prefix_chain(process, &asked);
        let prompt_tokens = prefix.blocks.last().map_or(0, |block| block.end_tokens);
        let repeatability = match &asked.at_most_once_key {
            Some(key) => Repeatability::AtMostOnce(key.as_str().into()),
            None => Repeatability::Repeatable,
        };
        RequestProfile {
            request: request_id(submission),
            tenant: ClusterLayout::tenant_name(asked.tenant).as_str().into(),
            pool: asked.pool().into(),
            prefix,
            prompt_tokens,
            expected_output_tokens: asked.chunks as u32,
            priority: Priority::Interactive,
            deadline: None,
            repeatability,
            arrived_at: self.clock_of(process.node),
        }
    }

    /// Feeds an event to a dispatcher and carries out what it wants.
    pub(super) fn dispatch(&mut self, process: ProcessId, event: DispatchEvent) {
        let now = self.clock_of(process.node);
        let Some(running) = self.running(process) else {
            return;
        };
        let mut actions = Vec::new();
        running.dispatcher.handle(event, now, &mut actions);
        for action in actions {
            match action {
                DispatchAction::Start {
                    request,
                    assignment,
                } => {
                    self.start_attempt(process, submission_of(&request), &assignment);
                }
                DispatchAction::Cancel { attempt } => self.cancel_attempt(process, attempt),
                DispatchAction::SendLimit(send) => {
                    self.control(process, ControlEvent::LimitSent(send));
                }
                DispatchAction::Finish { request, outcome } => {
                    self.finish_submission(process, submission_of(&request), outcome);
                }
            }
        }
    }

    fn start_attempt(&mut self, process: ProcessId, submission: u64, assignment: &Assignment) {
        let Some(back_end) = ClusterLayout::back_end_at(assignment.address) else {
            return;
        };
        self.counters.attempts += 1;
        let call = self.attempt_call(process, submission, back_end, assignment);
        let next_chunk = match call.kind {
            AttemptKind::Fresh => 0,
            AttemptKind::Resume { next_chunk, .. } | AttemptKind::Continue { next_chunk } => {
                self.counters.resumed += 1;
                next_chunk
            }
        };
        let Some(running) = self.running(process) else {
            return;
        };
        let progress = AttemptProgress {
            submission,
            back_end,
            head: false,
            next_chunk,
        };
        running.attempts.insert(assignment.attempt, progress);
        if self.claim_has_lapsed(process, submission) {
            let reason = NotRunReason::ConnectFailed;
            self.attempt_not_run(process, call.attempt, reason, None);
            return;
        }
        self.note_admission(process, submission);
        self.send_attempt(process, call);
    }

    /// The first attempt of a submission spends a unit of its tenant's limit.
    fn note_admission(&mut self, process: ProcessId, submission: u64) {
        let Some(running) = self.running(process) else {
            return;
        };
        let Some(progress) = running.submissions.get_mut(&submission) else {
            return;
        };
        if std::mem::replace(&mut progress.admitted, true) {
            return;
        }
        let tenant = ClusterLayout::tenant_name(self.submissions[&submission].tenant);
        self.observe(Observation::LimitSpent { tenant, units: 1 });
    }

    fn send_attempt(&mut self, process: ProcessId, call: AttemptCall) {
        let attempt = call.attempt;
        let back_end = Endpoint::BackEnd(call.back_end);
        let there = self.network.stream(node_endpoint(process), back_end);
        let back = self.network.stream(back_end, node_endpoint(process));
        let (Some(there), Some(back)) = (there, back) else {
            let event = ClusterEvent::AttemptNotRun {
                process,
                attempt,
                reason: NotRunReason::ConnectFailed,
                observation: None,
            };
            self.schedule(CONNECT_TIMEOUT, event);
            return;
        };
        // Connecting takes a round trip before the request can be written.
        let event = ClusterEvent::AttemptArrives {
            process,
            call: Box::new(call),
        };
        self.schedule(there + back + there, event);
        self.watch_for_silence(process, attempt);
    }

    fn attempt_call(
        &mut self,
        process: ProcessId,
        submission: u64,
        back_end: usize,
        assignment: &Assignment,
    ) -> AttemptCall {
        let asked = self.submissions[&submission].clone();
        let chain = self.prefix_chain(process, &asked);
        let delivered = self
            .running(process)
            .and_then(|running| running.submissions.get(&submission))
            .map_or(0, |progress| progress.delivered);
        let mut kind = match assignment.resume {
            None => AttemptKind::Fresh,
            Some(ResumePoint::SameEngine { attempt, .. }) => AttemptKind::Resume {
                earlier: attempt,
                next_chunk: delivered,
            },
            Some(ResumePoint::Continue { .. }) => AttemptKind::Continue {
                next_chunk: delivered,
            },
        };
        if self.has_mutation(Mutation::ResumeSkipsChunk) {
            kind = skip_chunk(kind);
        }
        let incarnation = assignment.incarnation.map(|incarnation| incarnation.0);
        let incarnation_ignored = self.has_mutation(Mutation::IncarnationIgnored);
        AttemptCall {
            attempt: assignment.attempt,
            back_end,
            submission,
            tenant: ClusterLayout::tenant_name(asked.tenant),
            incarnation: incarnation.filter(|_| !incarnation_ignored),
            weights_version: assignment.weights_version.map(|version| version.0),
            expected_cached_tokens: assignment.expected_cached_tokens,
            chain: chain
                .blocks
                .iter()
                .map(|block| (block.hash.0, block.end_tokens))
                .collect(),
            chunks: asked.chunks,
            kind,
            lies_in_socket: false,
        }
    }

    fn watch_for_silence(&mut self, process: ProcessId, attempt: AttemptId) {
        let Some(running) = self.running(process) else {
            return;
        };
        let Some(progress) = running.attempts.get(&attempt) else {
            return;
        };
        let silent_since_chunk = Some(progress.next_chunk);
        let event = ClusterEvent::ConnectionBreaks {
            process,
            attempt,
            silent_since_chunk,
        };
        self.schedule(IDLE_TIMEOUT, event);
    }

    pub(super) fn attempt_not_run(
        &mut self,
        process: ProcessId,
        attempt: AttemptId,
        reason: NotRunReason,
        observation: Option<EngineObservation>,
    ) {
        let outcome = AttemptOutcome::NotRun(reason);
        self.end_attempt(process, attempt, outcome, observation);
    }

    pub(super) fn head_arrives(
        &mut self,
        process: ProcessId,
        attempt: AttemptId,
        observation: EngineObservation,
    ) {
        let Some(running) = self.running(process) else {
            return;
        };
        let Some(progress) = running.attempts.get_mut(&attempt) else {
            return;
        };
        progress.head = true;
        let back_end = progress.back_end;
        self.tell_control(process, back_end, &observation);
        self.dispatch(
            process,
            DispatchEvent::AnswerStarted {
                attempt,
                observation,
            },
        );
    }

    /// Tells the control state which process answered and whether it leaves.
    fn tell_control(
        &mut self,
        process: ProcessId,
        back_end: usize,
        observation: &EngineObservation,
    ) {
        let event = ControlEvent::BackEndObserved {
            back_end: self.layout.back_end_name(back_end).as_str().into(),
            incarnation: Incarnation(observation.incarnation.0),
            draining: observation.draining,
        };
        self.control(process, event);
    }

    pub(super) fn chunk_arrives(
        &mut self,
        process: ProcessId,
        attempt: AttemptId,
        index: u64,
        answers: u64,
    ) {
        let Some(running) = self.running(process) else {
            return;
        };
        let Some(progress) = running.attempts.get_mut(&attempt) else {
            return;
        };
        let submission = progress.submission;
        let is_first = index == 0;
        progress.next_chunk = index + 1;
        if let Some(submission) = running.submissions.get_mut(&submission) {
            submission.delivered = index + 1;
        }
        self.observe(Observation::ChunkDelivered {
            submission,
            index,
            answers,
        });
        if is_first {
            self.dispatch(process, DispatchEvent::FirstToken { attempt });
        }
        self.watch_for_silence(process, attempt);
    }

    pub(super) fn end_arrives(
        &mut self,
        process: ProcessId,
        attempt: AttemptId,
        observation: EngineObservation,
    ) {
        self.end_attempt(
            process,
            attempt,
            AttemptOutcome::Completed,
            Some(observation),
        );
    }

    pub(super) fn connection_breaks(
        &mut self,
        process: ProcessId,
        attempt: AttemptId,
        silent_since_chunk: Option<u64>,
    ) {
        let Some(running) = self.running(process) else {
            return;
        };
        let Some(progress) = running.attempts.get(&attempt).cloned() else {
            return;
        };
        if silent_since_chunk.is_some_and(|chunk| chunk != progress.next_chunk) {
            return;
        }
        let back_end = Endpoint::BackEnd(progress.back_end);
        if let Some(delay) = self.network.stream(node_endpoint(process), back_end) {
            // The engine sees the connection close and keeps the attempt for its resume window.
            let event = ClusterEvent::ConnectionClosed {
                back_end: progress.back_end,
                attempt,
            };
            self.schedule(delay, event);
        }
        let outcome = if progress.head || progress.next_chunk > 0 {
            AttemptOutcome::Broken {
                chunks: progress.next_chunk,
            }
        } else if self.has_mutation(Mutation::UnknownAsNotRun) {
            AttemptOutcome::NotRun(NotRunReason::ConnectFailed)
        } else {
            AttemptOutcome::Unknown
        };
        self.end_attempt(process, attempt, outcome, None);
    }

    fn end_attempt(
        &mut self,
        process: ProcessId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
    ) {
        let Some(running) = self.running(process) else {
            return;
        };
        let Some(progress) = running.attempts.remove(&attempt) else {
            return;
        };
        if let Some(observation) = &observation {
            self.tell_control(process, progress.back_end, observation);
        }
        let event = DispatchEvent::AttemptEnded {
            attempt,
            outcome,
            observation,
        };
        self.dispatch(process, event);
    }

    fn cancel_attempt(&mut self, process: ProcessId, attempt: AttemptId) {
        let reused = self.has_mutation(Mutation::ConnectionReusedAfterCancel);
        let Some(running) = self.running(process) else {
            return;
        };
        let Some(progress) = running.attempts.remove(&attempt) else {
            return;
        };
        if reused && let Some((next, _)) = running.submissions.iter().next() {
            let submission = *next;
            running.attempts.insert(
                attempt,
                AttemptProgress {
                    submission,
                    ..progress
                },
            );
            return;
        }
        let back_end = progress.back_end;
        if let Some(delay) = self
            .network
            .stream(node_endpoint(process), Endpoint::BackEnd(back_end))
        {
            self.schedule(delay, ClusterEvent::CancelArrives { back_end, attempt });
        }
    }

    fn finish_submission(&mut self, process: ProcessId, submission: u64, outcome: FinalOutcome) {
        let Some(running) = self.running(process) else {
            return;
        };
        let Some(progress) = running.submissions.remove(&submission) else {
            return;
        };
        self.settle_claim(process, submission, &progress, &outcome);
        match outcome {
            FinalOutcome::Completed => self.complete(submission),
            FinalOutcome::Refused(refusal) => self.refuse(process, submission, refusal),
            FinalOutcome::Cancelled => {}
        }
        self.stop_when_idle(process);
    }

    fn complete(&mut self, submission: u64) {
        self.counters.completed += 1;
        let asked = self.close_submission(submission);
        let expected_chunks = asked.map_or(0, |asked| asked.chunks);
        self.observe(Observation::Completed {
            submission,
            expected_chunks,
        });
    }

    /// Tells the caller that it gets no whole answer.
    pub(super) fn refuse(&mut self, process: ProcessId, submission: u64, refusal: Refusal) {
        let by_planned_stop = self
            .running(process)
            .is_some_and(|running| running.stopping)
            && refusal.reason == ryerouter_core::dispatch::RefusalReason::Stopping;
        let run_state = match refusal.run_state {
            RunState::NotRun => ReportedRunState::NotRun,
            RunState::Ran => ReportedRunState::Ran,
            RunState::Unknown => ReportedRunState::Unknown,
        };
        if run_state == ReportedRunState::NotRun {
            self.counters.refused_not_run += 1;
        } else {
            self.counters.refused_ran_or_unknown += 1;
        }
        self.observe(Observation::Refused {
            submission,
            run_state,
            by_planned_stop,
        });
        self.caller_was_refused(submission);
    }

    /// Ends a stopping process once nothing is in progress.
    pub(super) fn stop_when_idle(&mut self, process: ProcessId) {
        let Some(running) = self.running(process) else {
            return;
        };
        if running.stopping && running.submissions.is_empty() {
            self.control(process, ControlEvent::TrafficEnded);
        }
    }

    /// Registers a submission with its node.
    pub(super) fn open_at_node(&mut self, process: ProcessId, submission: u64) {
        if let Some(running) = self.running(process) {
            running
                .submissions
                .insert(submission, SubmissionProgress::default());
        }
    }
}

/// The id of a submission as a request.
pub(super) fn request_id(submission: u64) -> RequestId {
    RequestId::new(submission.to_string())
}

fn submission_of(request: &RequestId) -> u64 {
    request
        .as_str()
        .parse()
        .expect("request ids are numbers of submissions")
}

fn skip_chunk(kind: AttemptKind) -> AttemptKind {
    match kind {
        AttemptKind::Fresh => AttemptKind::Fresh,
        AttemptKind::Resume {
            earlier,
            next_chunk,
        } => AttemptKind::Resume {
            earlier,
            next_chunk: next_chunk + 1,
        },
        AttemptKind::Continue { next_chunk } => AttemptKind::Continue {
            next_chunk: next_chunk + 1,
        },
    }
}
