//! Typical durations of the present versions' answers.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::release::{RouteKey, key_of};

use super::{AnswerTiming, LogMedian};

/// An answer that takes more than this multiple of the typical time is slow. Answers of bad versions take several
/// times as long as typical ones. Few answers of the present version do, and these also
/// count as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Upper bounds of the classes in which answers are compared, in prompt tokens that the engine has to process.
/// Without classes, a version would seem slow if its engines had empty caches and so processed more tokens.
const UNREAD_CLASSES: [u32; 3] = [512, 2_048, 8_192];
/// Maximum number of medians. Those of removed routes are not deleted one by one; when the maximum is reached, all
/// medians are discarded and measured anew.
const MAX_MEDIANS: usize = 1_024;

/// Part of an answer that is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TimedPart {
    /// A complete answer that is not a stream, with the class of its number of tokens to process.
    CompleteAnswer(usize),
    /// From sending the request to the first event of a stream, with the class of its number of tokens to process.
    FirstEvent(usize),
    /// From one event of a stream to the next, as the mean over an answer.
    Event,
}

impl TimedPart {
    /// A complete answer for which the engine has to process `unread_tokens`.
    pub fn complete_answer(unread_tokens: u32) -> Self {
        Self::CompleteAnswer(class_of(unread_tokens))
    }

    /// The first event of a stream for which the engine has to process `unread_tokens`.
    pub fn first_event(unread_tokens: u32) -> Self {
        Self::FirstEvent(class_of(unread_tokens))
    }
}

fn class_of(unread_tokens: u32) -> usize {
    let smaller = UNREAD_CLASSES
        .iter()
        .filter(|bound| unread_tokens > **bound);
    smaller.count()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct TimeKey {
    pool: u32,
    route: RouteKey,
    part: TimedPart,
}

impl TimeKey {
    fn new(timing: &AnswerTiming, part: TimedPart) -> Self {
        Self {
            pool: key_of(timing.pool.as_str()),
            route: timing.route,
            part,
        }
    }
}

/// Running medians of the durations of the present versions' answers, for each pool, route and timed part.
#[derive(Debug, Default)]
pub struct TypicalTimes {
    medians: HashMap<TimeKey, LogMedian>,
}

impl TypicalTimes {
    /// Whether a part of an answer took more than `SLOW_FACTOR` times its typical time.
    pub fn is_slow(&self, timing: &AnswerTiming, part: TimedPart, took: Duration) -> bool {
        let median = self.medians.get(&TimeKey::new(timing, part));
        let typical = median.and_then(LogMedian::get);
        typical.is_some_and(|typical| took > typical.mul_f64(SLOW_FACTOR))
    }

    /// Records the duration of a part of an answer of the present version.
    pub fn record(&mut self, timing: &AnswerTiming, part: TimedPart, took: Duration) {
        let key = TimeKey::new(timing, part);
        if self.medians.len() >= MAX_MEDIANS && !self.medians.contains_key(&key) {
            self.medians.clear();
        }
        let known = self.medians.entry(key);
        known
            .and_modify(|median| median.record(took))
            .or_insert_with(|| LogMedian::first(took));
    }
}
