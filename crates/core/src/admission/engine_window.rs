//! How many requests of this process an engine may hold at once.

use std::time::Duration;

use crate::dispatch::Priority;
use crate::timestamp::Timestamp;

/// Window of a fresh engine.
const INITIAL_SIZE: f64 = 128.0;
/// A window never closes wholly, or nothing would tell that the engine has room again.
const MIN_SIZE: f64 = 1.0;
const MAX_SIZE: f64 = 4_096.0;
/// Factor for an engine in which requests wait.
const DECREASE: f64 = 0.85;
/// Factor for an engine that refused a request as overloaded.
const DECREASE_ON_REFUSAL: f64 = 0.5;
/// Decreases closer together answer the same congestion and count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the window that batch work may fill, so that interactive work finds room.
const BATCH_SHARE: f64 = 0.75;

/// How many requests of this process an engine may hold at once: additive increase, multiplicative
/// decrease on what answers tell in-band.
///
/// Every process sees only its own part of an engine's load, and load reports lag. Windows that
/// shrink wherever waiting is seen and grow slowly elsewhere let processes that know nothing of
/// each other share an engine without overfilling it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineWindow {
    size: f64,
    /// Until the first decrease the window grows by one for each answer.
    is_starting: bool,
    decreased_at: Option<Timestamp>,
}

impl Default for EngineWindow {
    fn default() -> Self {
        Self {
            size: INITIAL_SIZE,
            is_starting: true,
            decreased_at: None,
        }
    }
}

impl EngineWindow {
    /// Requests it lets through at once.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Whether one more request of this priority may start beside `in_flight` others.
    pub fn admits(&self, priority: Priority, in_flight: u32) -> bool {
        let limit = match priority {
            Priority::Interactive => self.size,
            Priority::Batch => (self.size * BATCH_SHARE).max(MIN_SIZE),
        };
        f64::from(in_flight) + 1.0 <= limit
    }

    /// An answer told how many requests wait in the engine.
    pub fn observe(&mut self, waiting: u32, tolerated: u32, in_flight: u32, now: Timestamp) {
        if waiting > tolerated {
            self.decrease(DECREASE, now);
        } else if f64::from(in_flight) * 2.0 >= self.size {
            // Only a window that is used may grow, or it would say nothing of the engine.
            self.increase();
        }
    }

    /// The engine refused a request as overloaded.
    pub fn refused(&mut self, now: Timestamp) {
        self.decrease(DECREASE_ON_REFUSAL, now);
    }

    fn increase(&mut self) {
        let step = if self.is_starting {
            1.0
        } else {
            1.0 / self.size
        };
        self.size = (self.size + step).min(MAX_SIZE);
    }

    fn decrease(&mut self, factor: f64, now: Timestamp) {
        let recent = |at: Timestamp| now.since(at) < DECREASE_INTERVAL;
        if self.decreased_at.is_some_and(recent) {
            return;
        }
        self.is_starting = false;
        self.decreased_at = Some(now);
        self.size = (self.size * factor).max(MIN_SIZE);
    }
}
