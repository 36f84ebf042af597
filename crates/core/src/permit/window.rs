//! Concurrency limit of one engine for all nodes together.

use std::time::Duration;

use crate::Timestamp;

/// Time over which an engine counts refusals.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time between a change of the limit and its next increase.
const GROWTH_INTERVAL: Duration = Duration::from_secs(2);

/// Concurrency limit of one engine: its slots, and less after it has refused requests.
///
/// It falls below what the engine held at a refusal, and grows by one at a time, only while it is used up and nothing
/// is refused.
#[derive(Debug, Clone)]
pub struct Window {
    slots: u32,
    size: u32,
    changed_at: Timestamp,
    paused_until: Timestamp,
}

impl Window {
    /// The window of an engine with this number of slots that has refused nothing yet.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            size: slots,
            changed_at: Timestamp::ZERO,
            paused_until: Timestamp::ZERO,
        }
    }

    /// Number of requests that the engine may have now.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Until when the engine is sent nothing more, since it has just refused a request.
    pub fn paused_until(&self) -> Timestamp {
        self.paused_until
    }

    /// Updates the number of slots from the engine's list entry.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.slots = slots;
            self.size = self.size.min(slots);
        }
    }

    /// Records that the engine refused a request while it had `in_use`, this one included. An engine that withstands
    /// `max_refusals` a second is sent nothing for so long that further refusals stay below that.
    pub fn note_refused(&mut self, in_use: u32, max_refusals: u32, now: Timestamp) {
        self.size = self.size.min(in_use.saturating_sub(1)).max(1);
        self.changed_at = now;
        let pause = REFUSAL_PERIOD / max_refusals.max(1);
        self.paused_until = self.paused_until.max(now.after(pause));
    }

    /// Records that all permits of the window are in use.
    pub fn note_used_up(&mut self, now: Timestamp) {
        let is_due = now.since(self.changed_at) >= GROWTH_INTERVAL;
        if self.size < self.slots && is_due {
            self.size += 1;
            self.changed_at = now;
        }
    }
}
