//! Work that was sent to engines and has not begun.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;

/// Identifies work in a [`Backlog`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    until: Timestamp,
    number: u64,
    since: Timestamp,
}

impl Ticket {
    /// When the work was sent.
    pub(super) fn since(&self) -> Timestamp {
        self.since
    }
}

/// Work that was sent to engines and has not begun.
///
/// Work counts only for a limited time. An attempt that waits for longer may wait at an engine that is out of reach,
/// which says nothing about the capacity of the others.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: BTreeMap<Ticket, f64>,
    total: f64,
    next_number: u64,
}

impl Backlog {
    /// Adds work that counts for `time` at most.
    pub fn add(&mut self, work: f64, time: Duration, now: Timestamp) -> Ticket {
        let ticket = Ticket {
            until: now.after(time),
            number: self.next_number,
            since: now,
        };
        self.next_number += 1;
        self.waiting.insert(ticket, work);
        self.total += work;
        ticket
    }

    /// Removes work that has begun or was given up.
    pub fn remove(&mut self, ticket: Ticket) {
        if let Some(work) = self.waiting.remove(&ticket) {
            self.subtract(work);
        }
    }

    /// The work that waits.
    pub fn total(&mut self, now: Timestamp) -> f64 {
        while let Some(oldest) = self.waiting.first_entry() {
            if now < oldest.key().until {
                break;
            }
            let work = oldest.remove();
            self.subtract(work);
        }
        self.total
    }

    /// The work that waits and was sent at `moment` or later.
    pub fn total_since(&mut self, moment: Timestamp, now: Timestamp) -> f64 {
        let total = self.total(now);
        let waiting = self.waiting.iter();
        let earlier = waiting.filter(|(ticket, _)| ticket.since < moment);
        let earlier: f64 = earlier.map(|(_, work)| work).sum();
        (total - earlier).max(0.0)
    }

    /// When the oldest of the work that waits was sent.
    pub fn oldest(&self) -> Option<Timestamp> {
        self.waiting.keys().map(Ticket::since).min()
    }

    fn subtract(&mut self, work: f64) {
        // An empty backlog is exactly zero, whatever the rounding errors of the sum.
        self.total = match self.waiting.is_empty() {
            true => 0.0,
            false => self.total - work,
        };
    }
}
