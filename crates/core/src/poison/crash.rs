//! The end of an engine under a run.

use std::time::Duration;

use crate::Timestamp;
use crate::identity::{BackEndName, Incarnation};

/// Times that other nodes told are off by what their messages took; a caller that repeats at once is not faster.
const TOLD_LATE: Duration = Duration::from_millis(30);

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
}

impl Crash {
    /// Whether this run began only after `former` had ended.
    ///
    /// When a whole pool is lost at once, all copies of a popular request end with it: those are one end, not many.
    pub(super) fn follows(&self, former: &Self) -> bool {
        let began_after = self.began.after(TOLD_LATE) >= former.ended;
        began_after && self.ended > former.ended.after(TOLD_LATE)
    }

    /// Whether both are the end of the same life of an engine.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.engine == other.engine && self.incarnation == other.incarnation
    }
}
