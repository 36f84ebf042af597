//! Issues the permits of one engine.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::hold_time::HoldTime;
use super::holdings::Holdings;
use super::{Answer, Ask, Number, Report, Window};
use crate::Timestamp;

/// Maximum number of nodes that wait for permits of one engine.
const MAX_WAITING: usize = 256;

/// Maximum number of permits of one node that count, although they were not issued here, until the issuer opens.
const MAX_FOREIGN_BEFORE_OPENING: usize = 1_024;

/// Issues the permits of one engine to nodes, which it knows by `H`.
#[derive(Debug)]
pub struct Issuer<H> {
    window: Window,
    holdings: BTreeMap<H, Holdings>,
    waiting: VecDeque<Ask<H>>,
    hold_time: HoldTime,
    /// Before this time no permit is issued, because those of an earlier issuer are not all known.
    opens_at: Timestamp,
}

impl<H: Ord + Clone> Issuer<H> {
    /// An issuer of the permits of an engine with this number of slots, which issues none before `opens_at`.
    pub fn new(slots: u32, opens_at: Timestamp) -> Self {
        Self {
            window: Window::new(slots),
            holdings: BTreeMap::new(),
            waiting: VecDeque::new(),
            hold_time: HoldTime::default(),
            opens_at,
        }
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> u32 {
        self.holdings.values().map(Holdings::count).sum::<usize>() as u32
    }

    /// Number of nodes' requests that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The concurrency limit.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Updates the number of slots from the engine's list entry.
    pub fn set_slots(&mut self, slots: u32) {
        self.window.set_slots(slots);
    }

    /// Issues no permit before `opens_at`.
    pub fn close_until(&mut self, opens_at: Timestamp) {
        self.opens_at = opens_at;
    }

    /// Whether permits can be issued.
    pub fn is_open(&self, now: Timestamp) -> bool {
        now >= self.opens_at
    }

    /// Decides on a request for a permit.
    pub fn ask(&mut self, ask: Ask<H>, now: Timestamp) -> Answer {
        let holdings = self.holdings.get(&ask.holder);
        if holdings.is_some_and(|holdings| holdings.holds(ask.number)) {
            return Answer::Granted;
        }
        let is_same = |known: &Ask<H>| known.holder == ask.holder && known.number == ask.number;
        if self.waiting.iter().any(is_same) {
            return Answer::Queued;
        }
        if self.waiting.is_empty() && self.has_free_permit(now) {
            self.issue(&ask, now);
            return Answer::Granted;
        }
        let wait = self.expected_wait(now);
        if now.after(wait) > ask.until || self.waiting.len() >= MAX_WAITING {
            return Answer::Denied { wait };
        }
        self.waiting.push_back(ask);
        Answer::Queued
    }

    /// Applies a report of a node that uses permits of an engine which withstands `max_refusals` a second.
    pub fn report(&mut self, holder: H, report: &Report, max_refusals: u32, now: Timestamp) {
        if report.refused > 0 {
            let in_use = self.in_use();
            self.window.note_refused(in_use, max_refusals, now);
        }
        // Until it opens, an issuer learns what others have at the engine already.
        let max_foreign = match now < self.opens_at {
            true => MAX_FOREIGN_BEFORE_OPENING,
            false => self.window.size().div_ceil(2) as usize,
        };
        let holdings = self.holdings.entry(holder).or_default();
        for time in holdings.apply(report, max_foreign, now) {
            self.hold_time.note(time);
        }
    }

    /// Removes a request for a permit.
    pub fn withdraw(&mut self, holder: &H, number: Number) {
        self.waiting
            .retain(|ask| ask.holder != *holder || ask.number != number);
    }

    /// A process of a node has ended. Its requests for permits are removed, and the permits that it held lapse soon.
    pub fn end_process(
        &mut self,
        holder: &H,
        is_of_process: impl Fn(Number) -> bool,
        now: Timestamp,
    ) {
        let is_gone = |ask: &Ask<H>| ask.holder == *holder && is_of_process(ask.number);
        self.waiting.retain(|ask| !is_gone(ask));
        if let Some(holdings) = self.holdings.get_mut(holder) {
            holdings.end(is_of_process, now);
        }
    }

    /// Removes what has lapsed, and issues permits to those that wait. Returns to whom.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(H, Number)> {
        for holdings in self.holdings.values_mut() {
            holdings.expire(now);
        }
        self.holdings.retain(|_, holdings| !holdings.is_empty());
        self.waiting.retain(|ask| now <= ask.until);
        let mut issued = Vec::new();
        while !self.waiting.is_empty() && self.has_free_permit(now) {
            let Some(ask) = self.waiting.pop_front() else {
                break;
            };
            self.issue(&ask, now);
            issued.push((ask.holder, ask.number));
        }
        issued
    }

    fn issue(&mut self, ask: &Ask<H>, now: Timestamp) {
        let holdings = self.holdings.entry(ask.holder.clone()).or_default();
        holdings.issue(ask.number, now);
        if self.in_use() >= self.window.size() {
            self.window.note_used_up(now);
        }
    }

    fn has_free_permit(&self, now: Timestamp) -> bool {
        now >= self.opening() && self.in_use() < self.window.size()
    }

    fn opening(&self) -> Timestamp {
        self.opens_at.max(self.window.paused_until())
    }

    /// Estimated time until a further request gets a permit.
    fn expected_wait(&self, now: Timestamp) -> Duration {
        let excess = self.in_use().saturating_sub(self.window.size()) as usize;
        let position = self.waiting.len() + 1 + excess;
        let time = self.hold_time.until_returned(position, self.window.size());
        self.opening().since(now) + time
    }
}
