//! What the store keeps of a request that is held back.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ryerouter_core::Timestamp;
use ryerouter_core::poison::{Digest, History};
use serde::{Deserialize, Serialize};

use super::PoisonUpdate;

/// What the store keeps of a request that is held back.
///
/// The steady clock of a process says nothing to another one, so ages count from a time of day. Steps of that clock
/// make a trial come seconds earlier or later, and change neither the order of ends nor their number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What was known when this was written.
    #[serde(flatten)]
    update: PoisonUpdate,
    /// When that was, in milliseconds since the Unix epoch.
    written_at_ms: u64,
}

impl Record {
    /// What is known now, which is `time` by the time of day.
    pub fn new(digest: Digest, history: &History, now: Timestamp, time: SystemTime) -> Self {
        Self {
            update: PoisonUpdate::new(digest, history, now),
            written_at_ms: millis_of(time),
        }
    }

    /// The request.
    pub fn digest(&self) -> Digest {
        self.update.digest
    }

    /// What was known, as of now.
    pub fn history(&self, now: Timestamp, time: SystemTime) -> History {
        let age = millis_of(time).saturating_sub(self.written_at_ms);
        self.update.history(now.before(Duration::from_millis(age)))
    }
}

fn millis_of(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
