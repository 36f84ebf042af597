//! Verdict of a keeper on a claim.

use serde::{Deserialize, Serialize};

use crate::timestamp::Timestamp;

/// Verdict of a keeper on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The claim is granted. The keeper's records reach back far enough to contain any other claim
    /// that it granted on the key, and they contain none.
    Granted,
    /// Another claim holds the key.
    Held,
    /// The records of this keeper do not reach back far enough to tell whether the key was claimed,
    /// because it became a keeper too recently, or the key's issue time lies in the future.
    Forgetful {
        /// Earliest time at which the keeper can vote on keys like this one.
        until: Timestamp,
    },
    /// The key is older than the claim lifetime, so it is never granted again.
    Expired,
    /// The keeper has reached its capacity of stored claims.
    Full,
    /// The request's epoch differs from the one that this process knows, or this process is not a
    /// keeper of the key.
    OtherEpoch {
        /// The epoch that this process knows; `None` if its roster is empty.
        epoch: Option<u64>,
    },
}
