//! Errors of the platform clients.

use std::time::Duration;

use derive_more::{Display, Error};

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// No connection; the call had no effect.
    #[display("cannot connect to the platform: {detail}")]
    Unreachable {
        /// What the connector said.
        detail: String,
    },
    /// The answer was lost; the call may have taken effect.
    #[display("the platform's answer was lost: {detail}")]
    AnswerLost {
        /// How it was lost.
        detail: String,
    },
    /// No answer in time; the call may have taken effect.
    #[display("no answer from the platform within {} ms", limit.as_millis())]
    TimedOut {
        /// The time limit.
        limit: Duration,
    },
    /// The object has another version than the condition asked for; nothing was changed.
    #[display("the object is at version {current}")]
    Conflict {
        /// The version the object has; 0 when it does not exist.
        current: u64,
    },
    /// There is no such object.
    #[display("no such object")]
    NotFound,
    /// The watch asked for a revision that is no longer kept; list again.
    #[display("the revision to watch from is no longer kept")]
    Compacted,
    /// The platform takes no more readers now.
    #[display("the platform refuses more readers")]
    TooManyReaders {
        /// When to ask again, if the platform said so.
        retry_after: Option<Duration>,
    },
    /// The platform answered with an error of its own; the call may have taken effect.
    #[display("the platform answered with status {status}")]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The platform refused the call; it had no effect.
    #[display("the platform refused the call with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer cannot be understood.
    #[display("malformed answer from the platform: {detail}")]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
    /// The key cannot stand in a URI; nothing was sent.
    #[display("cannot address the object: {detail}")]
    Unaddressable {
        /// The path and what is wrong with it.
        detail: String,
    },
    /// The platform ended a watch.
    #[display("the platform ended the watch")]
    WatchEnded,
}

impl PlatformError {
    /// Whether the call may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::AnswerLost { .. }
            | Self::TimedOut { .. }
            | Self::Failed { .. }
            | Self::Malformed { .. } => true,
            Self::Unreachable { .. }
            | Self::Conflict { .. }
            | Self::NotFound
            | Self::Compacted
            | Self::TooManyReaders { .. }
            | Self::Refused { .. }
            | Self::Unaddressable { .. }
            | Self::WatchEnded => false,
        }
    }
}
