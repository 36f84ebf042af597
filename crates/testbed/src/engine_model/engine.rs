//! The engine.

mod admission;
mod intake;
mod step_completion;
mod step_planning;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{Priority, QueuedTokens};
use ryerouter_core::identity::{AttemptId, Incarnation, WeightsVersion};

use super::sequence::Sequence;
use super::step::Step;
use super::waiting_queue::WaitingQueue;
use super::{EngineEvent, EngineOutput, EngineProfile, EngineRequest, EngineStatus, PrefixCache};

/// Weights on their way from the weight store.
#[derive(Debug, Clone, Copy)]
struct PendingWeights {
    weights_version: WeightsVersion,
    ready_at: Timestamp,
}

/// One inference engine.
///
/// Invariant: tokens of cached blocks and of reservations of running sequences together never
/// exceed the KV memory.
#[derive(Debug, Clone)]
pub struct EngineModel {
    profile: EngineProfile,
    incarnation: Incarnation,
    weights_version: WeightsVersion,
    draining: bool,
    pending_weights: Option<PendingWeights>,
    cache: PrefixCache,
    waiting: WaitingQueue,
    running: Vec<Sequence>,
    reserved_tokens: u32,
    step: Option<Step>,
}

impl EngineModel {
    /// An engine that just started, with an empty cache.
    pub fn new(
        profile: EngineProfile,
        incarnation: Incarnation,
        weights_version: WeightsVersion,
    ) -> Self {
        Self {
            profile,
            incarnation,
            weights_version,
            draining: false,
            pending_weights: None,
            cache: PrefixCache::default(),
            waiting: WaitingQueue::default(),
            running: Vec::new(),
            reserved_tokens: 0,
            step: None,
        }
    }

    /// Takes an event and appends what the engine says. Everything due by `now` happens first.
    pub fn handle(&mut self, event: EngineEvent, now: Timestamp, outputs: &mut Vec<EngineOutput>) {
        self.advance(now, outputs);
        match event {
            EngineEvent::Submit(request) => self.submit(*request, now, outputs),
            EngineEvent::Cancel { attempt } => self.cancel(attempt, outputs),
            EngineEvent::Restart { incarnation } => self.restart(incarnation, outputs),
            EngineEvent::SetDraining { draining } => self.draining = draining,
            EngineEvent::LoadWeights {
                weights_version,
                ready_at,
            } => {
                self.pending_weights = Some(PendingWeights {
                    weights_version,
                    ready_at,
                });
            }
            EngineEvent::Wake => {}
        }
        self.switch_weights_if_due(now, outputs);
        self.start_step(now, outputs);
    }

    /// When the engine must be woken next, if anything is under way.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let step = self.step.as_ref().map(|step| step.ends_at);
        let import = self.next_import_end();
        [step, import, self.weights_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// What it would truthfully say of itself.
    pub fn status(&self) -> EngineStatus {
        EngineStatus {
            incarnation: self.incarnation,
            weights_version: self.weights_version,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            queued_tokens: self.queued_tokens(),
            draining: self.refuses_work(),
        }
    }

    /// Its speed and sizes.
    pub fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    /// Its prefix cache.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// KV memory in use, in tokens: cached blocks and reservations.
    pub fn used_tokens(&self) -> u32 {
        self.cache.total_tokens() + self.reserved_tokens
    }

    /// Prompt tokens that a running attempt has yet to compute; `None` when it does not run.
    pub fn remaining_prefill(&self, attempt: AttemptId) -> Option<u32> {
        let index = self.running_index(attempt)?;
        Some(self.running[index].remaining_prefill())
    }

    /// Prompt tokens of running and waiting requests that are neither computed nor cached, by
    /// priority.
    pub fn queued_tokens(&self) -> QueuedTokens {
        let of_priority = |priority: Priority| {
            let running = self
                .running
                .iter()
                .filter(|one| one.request.priority == priority);
            let waiting = self
                .waiting
                .iter()
                .filter(|one| one.request.priority == priority);
            let running: u32 = running.map(Sequence::remaining_prefill).sum();
            let waiting: u32 = waiting.map(|one| self.uncached_tokens(&one.request)).sum();
            running + waiting
        };
        QueuedTokens {
            interactive: of_priority(Priority::Interactive),
            batch: of_priority(Priority::Batch),
        }
    }

    /// Prompt tokens of running and waiting requests that are neither computed nor cached.
    pub fn queued_prefill_tokens(&self) -> u32 {
        let running: u32 = self.running.iter().map(Sequence::remaining_prefill).sum();
        let waiting: u32 = self
            .waiting
            .iter()
            .map(|waiting| self.uncached_tokens(&waiting.request))
            .sum();
        running + waiting
    }

    fn uncached_tokens(&self, request: &EngineRequest) -> u32 {
        let matched = self.cache.matching_blocks(&request.prefix.blocks);
        request.prompt_tokens - request.prefix_tokens(matched)
    }

    fn refuses_work(&self) -> bool {
        self.draining || self.pending_weights.is_some()
    }

    /// Lets everything happen that is due by `now`, in order of time.
    fn advance(&mut self, now: Timestamp, out: &mut Vec<EngineOutput>) {
        while let Some(due) = self.next_wake().filter(|due| *due <= now) {
            self.finish_imports(due, out);
            self.finish_step(due, out);
            self.switch_weights_if_due(due, out);
            self.start_step(due, out);
        }
    }

    fn weights_due(&self) -> Option<Timestamp> {
        let idle = self.running.is_empty() && self.waiting.len() == 0;
        self.pending_weights
            .filter(|_| idle)
            .map(|pending| pending.ready_at)
    }

    fn switch_weights_if_due(&mut self, now: Timestamp, out: &mut Vec<EngineOutput>) {
        let Some(pending) = self.pending_weights else {
            return;
        };
        if self.weights_due().is_none_or(|due| due > now) {
            return;
        }
        self.pending_weights = None;
        self.weights_version = pending.weights_version;
        self.cache.clear();
        out.push(EngineOutput::WeightsLoaded {
            weights_version: pending.weights_version,
        });
    }

    fn next_import_end(&self) -> Option<Timestamp> {
        self.running
            .iter()
            .filter_map(|sequence| sequence.importing_until)
            .min()
    }

    fn release(&mut self, sequence: &Sequence) {
        self.reserved_tokens -= sequence.reserved_tokens;
        let pinned = &sequence.request.prefix.blocks[..sequence.pinned_blocks];
        for block in pinned {
            self.cache.unpin(block.hash);
        }
    }

    fn running_index(&self, attempt: AttemptId) -> Option<usize> {
        self.running
            .iter()
            .position(|sequence| sequence.request.attempt == attempt)
    }
}
