//! The end of an engine under a run.

use std::time::Duration;

use crate::Timestamp;
use crate::identity::{BackEndName, Incarnation};

/// Times that other nodes told are off by what their messages took; a caller that repeats at once is not faster.
const REPORT_DELAY: Duration = Duration::from_millis(30);

/// Engines that are lost by one cause end within this time. Ends of copies that ran side by side are further apart
/// when each copy ended its own.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(300);

/// A run that broke off sooner may have met an engine that had ended before.
const MIN_RUN_TIME: Duration = Duration::from_millis(5);

/// An engine that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The engine.
    pub engine: BackEndName,
    /// Its life; `None` when it does not tell.
    pub incarnation: Option<Incarnation>,
    /// When the request was sent to it.
    pub began: Timestamp,
    /// When its connection broke off.
    pub ended: Timestamp,
    /// Whether it may have ended before: the node that saw this had just started, and had no answer of this engine yet.
    pub is_unproven: bool,
}

impl Crash {
    /// Whether this is another end than `previous`: its run began only after that, or it came some time later.
    ///
    /// When a whole pool is lost at once, all copies of a popular request end with it: those are one end, not many.
    pub(super) fn is_separate_from(&self, previous: &Self) -> bool {
        let began_after = self.began.after(REPORT_DELAY) >= previous.ended;
        let min_gap = match began_after {
            true => REPORT_DELAY,
            false => COMMON_CAUSE_WINDOW,
        };
        self.ended > previous.ended.after(min_gap)
    }

    /// Whether the engine may have ended before it was sent the request.
    pub fn is_doubtful(&self) -> bool {
        self.ended.since(self.began) < MIN_RUN_TIME
    }

    /// Whether both are the end of the same life of an engine.
    pub(super) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.engine == other.engine && self.incarnation == other.incarnation
    }
}
