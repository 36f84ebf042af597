//! Crash of an engine while it ran a request.

use std::time::Duration;

use crate::Timestamp;
use crate::identity::{BackEndName, Incarnation};

/// Clock error of crash times received from other nodes: they are late by the transit time of the message. A caller
/// cannot retry faster than this.
const REPORT_DELAY: Duration = Duration::from_millis(30);

/// Engines lost to a common cause crash within this time. Engines that ran copies of a request side by side, and each
/// crashed on its own copy, do so further apart.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(300);

/// A connection that broke after a shorter run may have been made to an engine that had crashed before.
const MIN_RUN_TIME: Duration = Duration::from_millis(5);

/// Crash of an engine while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The engine that crashed.
    pub engine: BackEndName,
    /// Incarnation that crashed; `None` when the engine does not report one.
    pub incarnation: Option<Incarnation>,
    /// When the request was sent to the engine.
    pub began: Timestamp,
    /// When the connection broke.
    pub ended: Timestamp,
    /// Whether the engine may have crashed before the run: the observing node had just started and had received no
    /// response from this engine yet.
    pub is_unproven: bool,
}

impl Crash {
    /// Whether this crash has another cause than `previous`: its run began after the previous crash, or it came a while
    /// later.
    ///
    /// When a whole pool fails at once, all copies of a popular request fail with it. These count as one crash.
    pub(super) fn is_separate_from(&self, previous: &Self) -> bool {
        let began_after = self.began.after(REPORT_DELAY) >= previous.ended;
        let min_gap = match began_after {
            true => REPORT_DELAY,
            false => COMMON_CAUSE_WINDOW,
        };
        self.ended > previous.ended.after(min_gap)
    }

    /// Whether the engine may have crashed before the request was sent to it.
    pub fn is_doubtful(&self) -> bool {
        self.ended.since(self.began) < MIN_RUN_TIME
    }

    /// Whether both are the crash of the same incarnation of an engine.
    pub(super) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.engine == other.engine && self.incarnation == other.incarnation
    }
}
