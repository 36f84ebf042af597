//! A running attempt.

use crate::identity::{AttemptId, BackEndName, Incarnation, RequestId};

/// An attempt that has started and not ended.
#[derive(Debug)]
pub(super) struct AttemptRecord {
    pub(super) request: RequestId,
    pub(super) back_end: BackEndName,
    /// The incarnation that serves it, once its answer has told.
    pub(super) incarnation: Option<Incarnation>,
    /// The attempt whose stream this one reads on, if it does.
    pub(super) resumes: Option<AttemptId>,
}
