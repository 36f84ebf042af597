//! A crash of an engine, as nodes send it to each other.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::poison::Crash;
use serde::{Deserialize, Serialize};

/// A crash of an engine under a request, as nodes send it to each other. Times are ages, since nodes share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The engine that crashed.
    #[serde(rename = "e")]
    pub engine: BackEndName,
    /// Its incarnation, if known.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Milliseconds since the crash.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Milliseconds from sending the request to the crash.
    #[serde(rename = "t")]
    pub took_ms: u64,
    /// Whether the engine may have crashed before it was sent the request.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unproven: bool,
}

impl CrashUpdate {
    /// Creates an update that is sent at `now`.
    pub fn new(crash: &Crash, now: Timestamp) -> Self {
        Self {
            engine: crash.engine.clone(),
            incarnation: crash.incarnation,
            age_ms: now.since(crash.ended).as_millis() as u64,
            took_ms: crash.ended.since(crash.began).as_millis() as u64,
            is_unproven: crash.is_unproven,
        }
    }

    /// The crash described by an update that was received at `now`.
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
