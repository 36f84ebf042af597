//! Crash of an engine while it ran a request.

use std::time::Duration;

use crate::Timestamp;
use crate::identity::{BackEndName, Incarnation};

/// Maximum delay of crash times received from other nodes, which include the transit time of the message. A caller
/// cannot retry faster than this, so the crashes of a run and of its retry are at least this far apart.
const REPORT_DELAY: Duration = Duration::from_millis(30);

/// Engines that fail from a common cause crash within this time of each other. If engines run copies of a request
/// side by side and each crashes on its own copy, the crashes are further apart.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(300);

/// If the connection breaks sooner after the request was sent, the engine may have crashed before the request.
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
    /// Whether this crash has another cause than `previous`: its run began after the previous crash, or it came more
    /// than `COMMON_CAUSE_WINDOW` later.
    ///
    /// When a whole pool fails at once, all copies of a popular request fail with it. Their crashes count as one.
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
