//! What a node knows of a request under which engines ended.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::poison::{Digest, History};
use serde::{Deserialize, Serialize};

use super::CrashUpdate;

/// What a node knows of a request under which engines ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonUpdate {
    /// The request.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// The engines that ended.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashUpdate>,
    /// How long ago it last ran to a good end, in milliseconds.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub cleared_age_ms: Option<u64>,
    /// How many trials have begun.
    #[serde(rename = "n", default)]
    pub trials: u32,
    /// How long ago the last of them began, in milliseconds.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub tried_age_ms: Option<u64>,
    /// Whether the sender knows that the store holds this.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_recorded: bool,
}

impl PoisonUpdate {
    /// News that are told now.
    pub fn new(digest: Digest, history: &History, now: Timestamp) -> Self {
        let age_ms = |at: Timestamp| now.since(at).as_millis() as u64;
        let crashes = history.crashes.iter();
        Self {
            digest,
            crashes: crashes.map(|crash| CrashUpdate::new(crash, now)).collect(),
            cleared_age_ms: history.cleared_at.map(age_ms),
            trials: history.trials,
            tried_age_ms: history.tried_at.map(age_ms),
            is_recorded: false,
        }
    }

    /// What was told now.
    pub fn history(&self, now: Timestamp) -> History {
        let at = |age_ms: u64| now.before(Duration::from_millis(age_ms));
        let crashes = self.crashes.iter();
        History {
            crashes: crashes.map(|update| update.crash(now)).collect(),
            cleared_at: self.cleared_age_ms.map(at),
            trials: self.trials,
            tried_at: self.tried_age_ms.map(at),
        }
    }
}
