//! What is seen of one answer.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_core::release::{Judgement, RouteKey, SoftwareVersion};

use super::{TimedPart, TypicalTimes};

/// With fewer events the time between them says little.
const MIN_EVENTS: u32 = 4;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer came to its end.
    Complete {
        /// Whether it tells how long answers take: a refusal for the request's own fault comes sooner.
        is_success: bool,
    },
    /// It was an error of the engine's own, broke off, or was not an answer.
    Failed,
    /// Nobody waited for its end: the caller left, or its time ran out.
    Abandoned,
    /// The engine did not run the request.
    NotRun,
}

/// What is seen of one answer of an engine, from sending the request on.
#[derive(Debug, Clone)]
pub struct AnswerTiming {
    /// The pool.
    pub pool: PoolName,
    /// The route.
    pub route: RouteKey,
    /// The engine.
    pub engine: BackEndName,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Whether it is slow from its start, so that the time says nothing of its version.
    pub is_cold: bool,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Prompt tokens that it has to read (estimate).
    pub unread_tokens: u32,
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// When the first event came.
    pub first_event_at: Option<Timestamp>,
    /// Events after the first.
    pub events: u32,
    /// How long those were waited for, in all: a caller that takes its time is not counted.
    pub waited: Duration,
    /// Since when one is waited for now.
    pub waiting_since: Option<Timestamp>,
}

impl AnswerTiming {
    /// The next bytes of a stream are waited for.
    pub fn begin_wait(&mut self, now: Timestamp) {
        self.waiting_since = Some(now);
    }

    /// They came, or nobody waits any more.
    pub fn end_wait(&mut self, now: Timestamp) {
        let since = self.waiting_since.take();
        if let Some(since) = since.filter(|_| self.first_event_at.is_some()) {
            self.waited += now.since(since);
        }
    }

    /// So many whole events came.
    pub fn note_events(&mut self, count: u32, now: Timestamp) {
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
        } else {
            self.events += count;
        }
    }

    /// How the answer is judged; `None` when its end says nothing of its engine.
    pub fn judge(
        &self,
        end: AnswerEnd,
        typical_times: &TypicalTimes,
        now: Timestamp,
    ) -> Option<Judgement> {
        let is_slow = || !self.is_cold && self.is_slow(typical_times, now);
        match end {
            AnswerEnd::NotRun => None,
            AnswerEnd::Failed => Some(Judgement::Failed),
            AnswerEnd::Complete { .. } if is_slow() => Some(Judgement::Slow),
            AnswerEnd::Complete { .. } => Some(Judgement::Good),
            // One that hangs is left in the end.
            AnswerEnd::Abandoned => is_slow().then_some(Judgement::Slow),
        }
    }

    /// Takes the times of a present version's answer into what is usual.
    pub fn update_typical_times(
        &self,
        end: AnswerEnd,
        typical_times: &mut TypicalTimes,
        now: Timestamp,
    ) {
        let is_usable = match end {
            AnswerEnd::Complete { is_success } => is_success,
            // When all become slow, what is usual rises.
            AnswerEnd::Abandoned => self.is_slow(typical_times, now),
            AnswerEnd::Failed | AnswerEnd::NotRun => false,
        };
        if !is_usable || self.is_cold {
            return;
        }
        let (part, took) = self.first_part(now);
        typical_times.note(self, part, took);
        if self.events >= MIN_EVENTS {
            typical_times.note(self, TimedPart::Event, self.time_between_events());
        }
    }

    fn is_slow(&self, typical_times: &TypicalTimes, now: Timestamp) -> bool {
        let (part, took) = self.first_part(now);
        if typical_times.is_slow(self, part, took) {
            return true;
        }
        // Streams of which hardly anything came are compared as if some more had come by now.
        typical_times.is_slow(self, TimedPart::Event, self.time_between_events())
    }

    /// What of the answer was waited for at first, and how long.
    fn first_part(&self, now: Timestamp) -> (TimedPart, Duration) {
        let until = self.first_event_at.unwrap_or(now);
        let part = match self.is_stream {
            true => TimedPart::first_event(self.unread_tokens),
            false => TimedPart::whole(self.unread_tokens),
        };
        (part, until.since(self.sent_at))
    }

    fn time_between_events(&self) -> Duration {
        self.waited / self.events.max(MIN_EVENTS)
    }
}
