//! Stages of the log reader.

use crate::control::StoreRequestId;
use crate::timestamp::Timestamp;

/// What the log reader waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReaderStage {
    /// This node is no reader.
    #[default]
    Idle,
    /// The list of log entries.
    Listing(StoreRequestId),
    /// The snapshot, because the log does not reach back to the version in force.
    Loading(StoreRequestId),
    /// Events of the watch.
    Watching,
    /// A time, after a failure.
    Retrying {
        /// When to list again.
        at: Timestamp,
    },
}
