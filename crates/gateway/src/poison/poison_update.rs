//! The crash history of a request, as nodes send it to each other.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::poison::{Crash, Digest, History};
use serde::{Deserialize, Serialize};

use super::CrashUpdate;

/// The crash history of a request, as nodes send it to each other and store it. Times are ages, since nodes share no
/// clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonUpdate {
    /// Digest of the request.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// Crashes of engines that ran the request.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashUpdate>,
    /// Crashes of runs that began before all nodes knew that the request is blocked.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub uncounted: Vec<CrashUpdate>,
    /// Milliseconds since its last successful run.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub cleared_age_ms: Option<u64>,
    /// Number of trials that have started.
    #[serde(rename = "n", default)]
    pub trials: u32,
    /// Milliseconds since the start of the last trial.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub tried_age_ms: Option<u64>,
    /// Whether the sender knows that the store holds this history.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_recorded: bool,
}

impl PoisonUpdate {
    /// Creates an update that is sent at `now`.
    pub fn new(digest: Digest, history: &History, now: Timestamp) -> Self {
        let age_ms = |at: Timestamp| now.since(at).as_millis() as u64;
        let updates = |crashes: &[Crash]| {
            let crashes = crashes.iter();
            crashes.map(|crash| CrashUpdate::new(crash, now)).collect()
        };
        Self {
            digest,
            crashes: updates(&history.crashes),
            uncounted: updates(&history.uncounted),
            cleared_age_ms: history.last_success_at.map(age_ms),
            trials: history.trials,
            tried_age_ms: history.last_trial_at.map(age_ms),
            is_recorded: false,
        }
    }

    /// The history described by an update that was received at `now`.
    pub fn history(&self, now: Timestamp) -> History {
        let at = |age_ms: u64| now.before(Duration::from_millis(age_ms));
        let crashes = |updates: &[CrashUpdate]| {
            let updates = updates.iter();
            updates.map(|update| update.crash(now)).collect()
        };
        History {
            crashes: crashes(&self.crashes),
            uncounted: crashes(&self.uncounted),
            last_success_at: self.cleared_age_ms.map(at),
            trials: self.trials,
            last_trial_at: self.tried_age_ms.map(at),
        }
    }
}
