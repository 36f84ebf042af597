//! Cache events as they are told: late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::prompt::BlockHash;
use serde::Serialize;

/// Events kept.
const CAPACITY: usize = 16_384;

/// One line of the event stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    sequence: u64,
    incarnation: u64,
    kind: CacheEventKind,
    hash: String,
    tokens: u32,
}

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It entered the cache.
    Stored,
    /// It left the cache.
    Evicted,
}

/// Cache events as they are told: late and with gaps.
#[derive(Debug)]
pub struct CacheEventLog {
    delay: Duration,
    random: ChaCha8Rng,
    sequence: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
}

impl CacheEventLog {
    /// An empty log; `seed` chooses which events get lost.
    pub fn new(delay: Duration, seed: u64) -> Self {
        Self {
            delay,
            random: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Notes an event, or loses it; a lost one still takes a sequence number.
    pub fn note(
        &mut self,
        kind: CacheEventKind,
        hash: BlockHash,
        tokens: u32,
        incarnation: u64,
        lost_permille: u16,
        now: Timestamp,
    ) {
        self.sequence += 1;
        if self.random.random_range(0..1_000) < lost_permille {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            incarnation,
            kind,
            hash: hash.to_string(),
            tokens,
        };
        self.events.push_back((now, event));
        if self.events.len() > CAPACITY {
            self.events.pop_front();
        }
    }

    /// Events from sequence number `from` that are old enough to be told.
    pub fn told(&self, from: u64, now: Timestamp) -> Vec<CacheEvent> {
        let until = now.before(self.delay);
        let first = self
            .events
            .partition_point(|(_, event)| event.sequence < from);
        let due = self.events.range(first..);
        due.take_while(|(since, _)| *since <= until)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
