//! Decides what may be held.

use std::collections::VecDeque;

use super::{BodyShortage, MemoryLimits, Purpose, Turn};

/// The bytes held for callers, and the bodies that wait for some. Decides by itself, without a clock or a network.
#[derive(Debug)]
pub struct ByteBudget {
    limits: MemoryLimits,
    held: usize,
    /// Whether a long answer uses the bytes set aside for one.
    is_overdrawn: bool,
    /// Long bodies that wait, in the order in which they came.
    queue: VecDeque<Turn>,
    /// Bodies that wait, of any length.
    waiting: usize,
    next_turn: u64,
}

impl ByteBudget {
    /// A budget of which nothing is held.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            held: 0,
            is_overdrawn: false,
            queue: VecDeque::new(),
            waiting: 0,
            next_turn: 0,
        }
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Bodies that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Holds bytes if there is room; `false` if there is none. A long body comes after those that wait.
    pub fn reserve(&mut self, purpose: Purpose, bytes: usize) -> bool {
        let is_behind = purpose == Purpose::LongBody && !self.queue.is_empty();
        let fits = self.held.saturating_add(bytes) <= self.limits.level(purpose);
        if fits && !is_behind {
            self.held += bytes;
        }
        fits && !is_behind
    }

    /// Holds bytes for a long answer out of those set aside for one at a time; `has_turn` says that this is the one.
    pub fn overdraw(&mut self, bytes: usize, has_turn: bool) -> bool {
        let most = self.limits.total + self.limits.for_last_answer;
        let may = has_turn || !self.is_overdrawn;
        let fits = may && self.held.saturating_add(bytes) <= most;
        if fits {
            self.held += bytes;
            self.is_overdrawn = true;
        }
        fits
    }

    /// Lets a body wait, if it may.
    pub fn wait(&mut self, purpose: Purpose, bytes: usize) -> Result<Turn, BodyShortage> {
        if bytes > self.limits.level(purpose) {
            return Err(BodyShortage::TooLong);
        }
        if self.waiting >= self.limits.max_waiting {
            return Err(BodyShortage::TooManyWaiting);
        }
        let turn = Turn(self.next_turn);
        self.next_turn += 1;
        self.waiting += 1;
        if purpose == Purpose::LongBody {
            self.queue.push_back(turn);
        }
        Ok(turn)
    }

    /// Like [`Self::reserve`] for a body that waits: a long one is admitted in its turn.
    pub fn reserve_in_turn(&mut self, turn: Turn, purpose: Purpose, bytes: usize) -> bool {
        let is_next = purpose != Purpose::LongBody || self.queue.front() == Some(&turn);
        let fits = self.held.saturating_add(bytes) <= self.limits.level(purpose);
        if is_next && fits {
            self.held += bytes;
        }
        is_next && fits
    }

    /// The body waits no longer, for whatever reason.
    pub fn end_wait(&mut self, turn: Turn) {
        self.waiting -= 1;
        self.queue.retain(|waiting| *waiting != turn);
    }

    /// Gives bytes back, and the turn to overdraw if their owner had it.
    pub fn release(&mut self, bytes: usize, had_turn: bool) {
        self.held -= bytes;
        if had_turn {
            self.is_overdrawn = false;
        }
    }
}
