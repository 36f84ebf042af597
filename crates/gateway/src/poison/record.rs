//! The stored crash history of a request.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ryerouter_core::Timestamp;
use ryerouter_core::poison::{Digest, History};
use serde::{Deserialize, Serialize};

use super::PoisonUpdate;

/// The crash history of a request, as it is stored.
///
/// Ages count from the wall-clock time at which the record was written, since the monotonic clock of one process means
/// nothing to another. An adjustment of the wall clock shifts the restored times, so a trial may start some seconds
/// earlier or later, but the order and the number of crashes stay the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The history, with ages as of the time of writing.
    #[serde(flatten)]
    update: PoisonUpdate,
    /// Time of writing, in milliseconds since the Unix epoch.
    written_at_ms: u64,
}

impl Record {
    /// Creates a record of `history` that is written at `now`, which is `time` by the wall clock.
    pub fn new(digest: Digest, history: &History, now: Timestamp, time: SystemTime) -> Self {
        Self {
            update: PoisonUpdate::new(digest, history, now),
            written_at_ms: millis_of(time),
        }
    }

    /// Digest of the request.
    pub fn digest(&self) -> Digest {
        self.update.digest
    }

    /// The stored history, with its times converted to this process's clock.
    pub fn history(&self, now: Timestamp, time: SystemTime) -> History {
        let age = millis_of(time).saturating_sub(self.written_at_ms);
        self.update.history(now.before(Duration::from_millis(age)))
    }
}

fn millis_of(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
