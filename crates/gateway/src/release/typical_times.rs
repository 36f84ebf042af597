//! How long the present versions' answers take.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::release::{RouteKey, key_of};

use super::{AnswerTiming, LogMedian};

/// An answer that takes so many times as long as is usual is slow. Bad versions take several times as
/// long; of the present version's answers few do, and how many is known.
const SLOW_FACTOR: f64 = 2.5;
/// Bounds of the classes by which answers are compared, in prompt tokens that the engine has to
/// read. A version whose engines have empty caches reads more, which is not its fault.
const UNREAD_CLASSES: [u32; 3] = [512, 2_048, 8_192];
/// Most estimates that are kept: routes that were dropped leave theirs behind. Beyond it all are
/// forgotten and learnt anew.
const MAX_MEDIANS: usize = 1_024;

/// What part of an answer is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TimedPart {
    /// All of one that is not a stream, by the class of what the engine has to read.
    Whole(usize),
    /// From sending the request to the first event, by the class of what the engine has to read.
    FirstEvent(usize),
    /// From event to event.
    Event,
}

impl TimedPart {
    /// All of an answer, after reading so many tokens.
    pub fn whole(unread_tokens: u32) -> Self {
        Self::Whole(class_of(unread_tokens))
    }

    /// The first event after reading so many tokens.
    pub fn first_event(unread_tokens: u32) -> Self {
        Self::FirstEvent(class_of(unread_tokens))
    }
}

fn class_of(unread_tokens: u32) -> usize {
    let smaller = UNREAD_CLASSES.iter().filter(|most| unread_tokens > **most);
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

/// How long parts of the present versions' answers take on each route, lately.
#[derive(Debug, Default)]
pub struct TypicalTimes {
    medians: HashMap<TimeKey, LogMedian>,
}

impl TypicalTimes {
    /// Whether a part of an answer took several times as long as it usually does.
    pub fn is_slow(&self, timing: &AnswerTiming, part: TimedPart, took: Duration) -> bool {
        let median = self.medians.get(&TimeKey::new(timing, part));
        let usual = median.and_then(LogMedian::get);
        usual.is_some_and(|usual| took > usual.mul_f64(SLOW_FACTOR))
    }

    /// A part of an answer of the present version took so long.
    pub fn note(&mut self, timing: &AnswerTiming, part: TimedPart, took: Duration) {
        let key = TimeKey::new(timing, part);
        if self.medians.len() >= MAX_MEDIANS && !self.medians.contains_key(&key) {
            self.medians.clear();
        }
        let known = self.medians.entry(key);
        known
            .and_modify(|median| median.note(took))
            .or_insert_with(|| LogMedian::first(took));
    }
}
