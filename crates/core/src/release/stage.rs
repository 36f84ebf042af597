//! Stages of a release.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Outcome;

/// Stages of a release, in their order; the last three are final.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Stage {
    /// The target version gets a bounded share of the requests.
    #[display("trial")]
    #[serde(rename = "t")]
    Trial,
    /// More and more new requests go to the target version.
    #[display("shifting")]
    #[serde(rename = "s")]
    Shifting,
    /// All new requests go there, and what runs at the present version's engines ends.
    #[display("settling")]
    #[serde(rename = "e")]
    Settling,
    /// The present version's engines may stop.
    #[display("completed")]
    #[serde(rename = "c")]
    Completed,
    /// The target version gets nothing any more.
    #[display("rolled_back")]
    #[serde(rename = "b")]
    RolledBack,
    /// The operator has taken the order back before it had come to an end.
    #[display("withdrawn")]
    #[serde(rename = "w")]
    Withdrawn,
}

impl Stage {
    /// Whether nothing follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack | Self::Withdrawn)
    }

    /// What is recorded of it; nothing is when there is no order any more.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Trial | Self::Shifting | Self::Settling => Some(Outcome::Running),
            Self::Completed => Some(Outcome::Completed),
            Self::RolledBack => Some(Outcome::RolledBack),
            Self::Withdrawn => None,
        }
    }
}
