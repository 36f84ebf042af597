//! What an engine has been given and has not computed yet.

use std::collections::{BTreeMap, HashMap};

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::Priority;
use ryerouter_core::identity::AttemptId;
use ryerouter_core::prompt::{BlockHash, PrefixBlock};

use crate::engine_model::EngineModel;

/// An attempt whose prompt is not computed yet.
#[derive(Debug, Clone)]
struct PlannedAttempt {
    blocks: Vec<BlockHash>,
    missing_tokens: u32,
    priority: Priority,
    sent_at: Timestamp,
}

/// Attempts sent to one engine whose first token has not arrived.
#[derive(Debug, Default)]
pub(super) struct PlannedAttempts {
    attempts: BTreeMap<AttemptId, PlannedAttempt>,
    expected: HashMap<BlockHash, u32>,
}

impl PlannedAttempts {
    /// Tokens of the chain that are cached or will be when the attempts sent before have run.
    pub fn reusable_tokens(&self, blocks: &[PrefixBlock], engine: &EngineModel) -> u32 {
        blocks
            .iter()
            .take_while(|block| {
                engine.cache().contains(block.hash) || self.expected.contains_key(&block.hash)
            })
            .last()
            .map_or(0, |block| block.end_tokens)
    }

    /// Prompt tokens to compute before a request of this priority that arrives now.
    pub fn tokens_ahead(&self, priority: Priority, engine: &EngineModel, now: Timestamp) -> u32 {
        let promotion = engine.profile().batch_promotion();
        self.attempts
            .iter()
            .filter(|(_, planned)| {
                planned.priority >= priority || now.since(planned.sent_at) >= promotion
            })
            .map(|(attempt, planned)| {
                engine
                    .remaining_prefill(*attempt)
                    .unwrap_or(planned.missing_tokens)
            })
            .sum()
    }

    /// Notes an attempt that was just sent.
    pub fn add(
        &mut self,
        attempt: AttemptId,
        blocks: &[PrefixBlock],
        missing_tokens: u32,
        priority: Priority,
        sent_at: Timestamp,
    ) {
        let blocks: Vec<BlockHash> = blocks.iter().map(|block| block.hash).collect();
        for block in &blocks {
            *self.expected.entry(*block).or_insert(0) += 1;
        }
        let planned = PlannedAttempt {
            blocks,
            missing_tokens,
            priority,
            sent_at,
        };
        self.attempts.insert(attempt, planned);
    }

    /// Forgets an attempt: its prompt is computed, or it ended.
    pub fn remove(&mut self, attempt: AttemptId) {
        let Some(planned) = self.attempts.remove(&attempt) else {
            return;
        };
        for block in planned.blocks {
            let count = self.expected.get_mut(&block).expect("it was counted");
            *count -= 1;
            if *count == 0 {
                self.expected.remove(&block);
            }
        }
    }
}
