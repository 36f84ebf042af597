//! Bounds the time of a part of a response that is sent at once.

use std::time::Duration;

/// Longest pause that counts. A longer one is silence, which has its own limits.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Time that a part may take in addition to the time for its bytes.
const MAX_DELAY: Duration = Duration::from_secs(1);
const MIN_BYTES_PER_SECOND: f64 = 65_536.0;

/// Tells a part of a response that is sent at once, an event or a plain body, from one that goes on and on in small
/// pieces.
#[derive(Debug, Clone, Copy, Default)]
pub struct TransferMeter {
    bytes: u64,
    /// Time waited for its pieces.
    waited: Duration,
}

impl TransferMeter {
    /// Counts a piece that was waited for so long since the one before. The wait for the first one does not count.
    pub fn push(&mut self, bytes: usize, waited: Duration) {
        if self.bytes > 0 {
            self.waited += waited.min(MAX_PAUSE);
        }
        self.bytes += bytes as u64;
    }

    /// Whether its end should have come by now.
    pub fn is_overdue(&self) -> bool {
        let transfer = self.bytes as f64 / MIN_BYTES_PER_SECOND;
        self.waited > MAX_DELAY + Duration::from_secs_f64(transfer)
    }
}
