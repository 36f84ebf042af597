//! Confirmation of an epoch.

use serde::{Deserialize, Serialize};

/// A keeper answers asks of this epoch of a group or a later one, and of none before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EpochConfirmation {
    /// Position of the group in the roster.
    pub group: usize,
    /// The epoch.
    pub epoch: u64,
}
