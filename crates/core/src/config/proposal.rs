//! One operator's change on its way.

use std::sync::Arc;

use crate::control::OperationId;
use crate::timestamp::Timestamp;

use super::{Change, LogEntry, ProposalStage};

/// One operator's change on its way into the log.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// The operator's call.
    pub operation: OperationId,
    /// The change.
    pub change: Change,
    /// Whether it is only checked.
    pub dry_run: bool,
    /// When the operator gets an answer whatever is known.
    pub deadline: Timestamp,
    /// What it waits for.
    pub stage: ProposalStage,
    /// The entry that a write of this change may have put into its slot of the log, or may still.
    pub tentative: Option<Arc<LogEntry>>,
    /// Whether the object API said that nothing follows the version in force.
    pub caught_up: bool,
    /// The latest failure of the object API.
    pub failure: String,
}
