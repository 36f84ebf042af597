//! Bounds the time of a part of a response that is sent at once.

use std::time::Duration;

/// Longest pause that counts. A longer one is silence, which has its own limits.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Time that a part may take in addition to the time for its bytes.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Rate at which an event comes at least, so that the longest one takes two seconds.
const MIN_EVENT_BYTES_PER_SECOND: f64 = 1_048_576.0;
/// The same of a plain body, which a narrow link may carry beside others.
const MIN_BODY_BYTES_PER_SECOND: f64 = 8_192.0;

/// Tells a part of a response that is sent at once, an event or a plain body, from one that goes on and on in small
/// pieces.
#[derive(Debug, Clone, Copy)]
pub struct TransferMeter {
    min_bytes_per_second: f64,
    bytes: u64,
    /// Time waited for its pieces.
    waited: Duration,
}

impl TransferMeter {
    /// Creates a meter of an event that has not begun.
    pub fn of_event() -> Self {
        Self::new(MIN_EVENT_BYTES_PER_SECOND)
    }

    /// Creates a meter of a plain body that has not begun.
    pub fn of_body() -> Self {
        Self::new(MIN_BODY_BYTES_PER_SECOND)
    }

    fn new(min_bytes_per_second: f64) -> Self {
        Self {
            min_bytes_per_second,
            bytes: 0,
            waited: Duration::ZERO,
        }
    }

    /// Counts a piece that was waited for so long since the one before. The wait for the first one does not count.
    pub fn push(&mut self, bytes: usize, waited: Duration) {
        if self.bytes > 0 {
            self.waited += waited.min(MAX_PAUSE);
        }
        self.bytes += bytes as u64;
    }

    /// Whether its end should have come by now.
    pub fn is_overdue(&self) -> bool {
        let transfer = self.bytes as f64 / self.min_bytes_per_second;
        self.waited > MAX_DELAY + Duration::from_secs_f64(transfer)
    }
}
