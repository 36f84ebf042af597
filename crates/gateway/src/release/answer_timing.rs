//! Timing of one answer.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_core::release::{Judgement, RouteKey, SoftwareVersion};

use super::{TimedPart, TypicalTimes};

/// Minimum number of events after the first from which the mean time between events is meaningful.
const MIN_EVENTS: u32 = 4;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer was received completely.
    Whole {
        /// Whether the request succeeded. Only then does the time count as typical: an engine rejects an invalid
        /// request sooner than it answers a valid one.
        is_success: bool,
    },
    /// The engine reported an error of its own, the answer broke off, or it was malformed.
    Failed,
    /// The answer was not awaited to its end: the caller disconnected, or a timeout expired.
    Left,
    /// The engine did not run the request.
    NotRun,
}

/// Timing of one answer of an engine, measured from the time at which the request is sent.
#[derive(Debug, Clone)]
pub struct AnswerTiming {
    /// Pool of the engine.
    pub pool: PoolName,
    /// Route of the request; answers are compared within a route.
    pub route: RouteKey,
    /// The engine that answers.
    pub engine: BackEndName,
    /// Version of the engine's software.
    pub software: SoftwareVersion,
    /// Whether the engine was started recently and may still be slow for that reason, so that the time says
    /// nothing about its version.
    pub is_cold: bool,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Estimated number of prompt tokens that are not in the cache of the engine, so that it has to process them.
    pub unread_tokens: u32,
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// When the first event was received.
    pub first_event_at: Option<Timestamp>,
    /// Number of events after the first.
    pub events: u32,
    /// Total time spent waiting for the events after the first. Time in which a slow caller delays reading is
    /// not included.
    pub waited: Duration,
    /// Start of the current wait for an event, if one is awaited.
    pub waiting_since: Option<Timestamp>,
}

impl AnswerTiming {
    /// Records that the next bytes of a stream are awaited.
    pub fn begin_wait(&mut self, now: Timestamp) {
        self.waiting_since = Some(now);
    }

    /// Records that the awaited bytes were received or are no longer awaited.
    pub fn end_wait(&mut self, now: Timestamp) {
        let since = self.waiting_since.take();
        if let Some(since) = since.filter(|_| self.first_event_at.is_some()) {
            self.waited += now.since(since);
        }
    }

    /// Records that `count` complete events were received. The first call only sets the time of the first event.
    pub fn note_events(&mut self, count: u32, now: Timestamp) {
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
        } else {
            self.events += count;
        }
    }

    /// Returns the judgement on the answer; `None` if its end says nothing about the engine.
    pub fn judge(&self, end: AnswerEnd, times: &TypicalTimes, now: Timestamp) -> Option<Judgement> {
        let is_slow = || !self.is_cold && self.is_slow(times, now);
        match end {
            AnswerEnd::NotRun => None,
            AnswerEnd::Failed => Some(Judgement::Failed),
            AnswerEnd::Whole { .. } if is_slow() => Some(Judgement::Slow),
            AnswerEnd::Whole { .. } => Some(Judgement::Good),
            // The caller of an engine that hangs disconnects eventually, so a slow abandoned answer counts.
            AnswerEnd::Left => is_slow().then_some(Judgement::Slow),
        }
    }

    /// Updates the typical times with the times of this answer, which must come from an engine of a present version.
    pub fn update_typical_times(&self, end: AnswerEnd, times: &mut TypicalTimes, now: Timestamp) {
        let is_usable = match end {
            AnswerEnd::Whole { is_success } => is_success,
            // Slow abandoned answers count, so that the typical time rises when all answers become slow.
            AnswerEnd::Left => self.is_slow(times, now),
            AnswerEnd::Failed | AnswerEnd::NotRun => false,
        };
        if !is_usable || self.is_cold {
            return;
        }
        let (part, took) = self.first_part(now);
        times.record(self, part, took);
        if self.events >= MIN_EVENTS {
            times.record(self, TimedPart::Event, self.time_between_events());
        }
    }

    fn is_slow(&self, times: &TypicalTimes, now: Timestamp) -> bool {
        let (part, took) = self.first_part(now);
        if times.is_slow(self, part, took) {
            return true;
        }
        // A stream with fewer than `MIN_EVENTS` events is compared as if it had received that many.
        times.is_slow(self, TimedPart::Event, self.time_between_events())
    }

    /// The first timed part of the answer (the whole of it, unless it is a stream), and the time that it has taken so
    /// far.
    fn first_part(&self, now: Timestamp) -> (TimedPart, Duration) {
        let until = self.first_event_at.unwrap_or(now);
        let part = match self.is_stream {
            true => TimedPart::first_event(self.unread_tokens),
            false => TimedPart::complete_answer(self.unread_tokens),
        };
        (part, until.since(self.sent_at))
    }

    fn time_between_events(&self) -> Duration {
        self.waited / self.events.max(MIN_EVENTS)
    }
}
