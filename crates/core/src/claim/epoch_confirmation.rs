//! Confirmation that a keeper adopted an epoch.

use serde::{Deserialize, Serialize};

/// States that a keeper votes in this epoch of a group or a later one, and no longer in earlier
/// ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EpochConfirmation {
    /// Index of the group in the roster.
    pub group: usize,
    /// The epoch.
    pub epoch: u64,
}
