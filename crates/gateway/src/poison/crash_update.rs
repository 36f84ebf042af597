//! News of an engine that ended under a request.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::poison::Crash;
use serde::{Deserialize, Serialize};

/// News of an engine that ended under a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The engine.
    #[serde(rename = "e")]
    pub engine: BackEndName,
    /// Its life.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// How long ago it ended, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// How long before that the request was sent to it, in milliseconds.
    #[serde(rename = "t")]
    pub took_ms: u64,
    /// Whether the engine may have ended before.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unproven: bool,
}

impl CrashUpdate {
    /// News of an end that is told now.
    pub fn new(crash: &Crash, now: Timestamp) -> Self {
        Self {
            engine: crash.engine.clone(),
            incarnation: crash.incarnation,
            age_ms: now.since(crash.ended).as_millis() as u64,
            took_ms: crash.ended.since(crash.began).as_millis() as u64,
            is_unproven: crash.is_unproven,
        }
    }

    /// The end that was told now.
    pub fn crash(&self, now: Timestamp) -> Crash {
        let ended = now.before(Duration::from_millis(self.age_ms));
        Crash {
            engine: self.engine.clone(),
            incarnation: self.incarnation,
            began: ended.before(Duration::from_millis(self.took_ms)),
            ended,
            is_unproven: self.is_unproven,
        }
    }
}
