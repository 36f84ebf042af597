//! Concurrency window of this process at one engine.

use std::time::Duration;

use crate::dispatch::Priority;
use crate::timestamp::Timestamp;

/// Window of an engine without measurements.
const INITIAL_SIZE: f64 = 128.0;
/// Minimum window. A window never closes completely, because only further responses can show that
/// the engine has room again.
const MIN_SIZE: f64 = 1.0;
const MAX_SIZE: f64 = 4_096.0;
/// Factor applied to the window when requests wait in the engine.
const DECREASE_FACTOR: f64 = 0.85;
/// Factor applied to the window when the engine refuses a request as overloaded.
const DECREASE_FACTOR_ON_REFUSAL: f64 = 0.5;
/// Minimum interval between decreases. Signals that follow more closely are caused by the same
/// congestion and count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the window that batch requests may fill, so that interactive requests find room.
const BATCH_SHARE: f64 = 0.75;

/// How many requests of this process an engine may hold at once: additive increase, multiplicative
/// decrease by what responses report.
///
/// Every process sees only its own part of an engine's load, and load reports lag. Windows that
/// shrink wherever requests wait and grow slowly elsewhere let processes share an engine without
/// overloading it, although they know nothing of each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineWindow {
    size: f64,
    /// Until the first decrease the window grows by one for each response.
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
    /// Number of requests that the window admits at once.
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

    /// Records the number of requests that wait in the engine according to a response. The window
    /// decreases when there are more than `tolerated`.
    pub fn observe(&mut self, waiting: u32, tolerated: u32, in_flight: u32, now: Timestamp) {
        if waiting > tolerated {
            self.decrease(DECREASE_FACTOR, now);
        } else if f64::from(in_flight) * 2.0 >= self.size {
            // Only a window that is at least half full may grow; otherwise its size would not
            // depend on the engine.
            self.increase();
        }
    }

    /// Records that the engine refused a request as overloaded.
    pub fn refused(&mut self, now: Timestamp) {
        self.decrease(DECREASE_FACTOR_ON_REFUSAL, now);
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
