//! Stages of a release.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Outcome;

/// Stages of a release in order; the last three are final.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Stage {
    /// The target version gets a bounded share of the requests.
    #[display("trial")]
    #[serde(rename = "t")]
    Trial,
    /// The target version gets an increasing share of new requests.
    #[display("shifting")]
    #[serde(rename = "s")]
    Shifting,
    /// The target version gets all new requests, while requests on engines of the present version
    /// end.
    #[display("settling")]
    #[serde(rename = "e")]
    Settling,
    /// The engines of the present version may stop.
    #[display("completed")]
    #[serde(rename = "c")]
    Completed,
    /// The target version gets no more requests.
    #[display("rolled_back")]
    #[serde(rename = "b")]
    RolledBack,
    /// The operator has removed the order before the release ended.
    #[display("withdrawn")]
    #[serde(rename = "w")]
    Withdrawn,
}

impl Stage {
    /// Whether no other stage follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack | Self::Withdrawn)
    }

    /// The outcome to record; `None` if the order no longer exists.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Trial | Self::Shifting | Self::Settling => Some(Outcome::Running),
            Self::Completed => Some(Outcome::Completed),
            Self::RolledBack => Some(Outcome::RolledBack),
            Self::Withdrawn => None,
        }
    }
}
