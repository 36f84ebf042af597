//! What a keeper says to a claim.

use serde::{Deserialize, Serialize};

use crate::timestamp::Timestamp;

/// What a keeper says to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// No other claim on the key was granted by this keeper, and it would remember if one had.
    Granted,
    /// Another claim holds the key.
    Held,
    /// This keeper started too recently to know whether the key was claimed; it will know of keys
    /// like this one from the given time on.
    Forgetful {
        /// When it will know.
        until: Timestamp,
    },
    /// The key is older than claims are remembered; it is never granted again.
    Expired,
    /// The memory for claims is full.
    Full,
    /// The asker's keeper group is not the one this keeper knows.
    OtherEpoch {
        /// The epoch it knows; `None` when it is no keeper of the key.
        epoch: Option<u64>,
    },
}
