//! Bounds the rate of bytes that only keep a connection open.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// Bytes that come within this time of one another count as sent at once. What ends the wait for a response may come
/// with them, so they count only when others follow.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Rate of bytes that keep a connection open.
const BYTES_PER_SECOND: f64 = 128.0;
/// Bytes that may come in addition.
const RESERVE_BYTES: u64 = 256;
/// Time that it takes to tell a kibibyte a second from bytes that keep a connection open.
const DECISION_TIME: Duration = Duration::from_millis(1_500);

/// Tells bytes that keep a connection open, which are few and far between, from those of a sender that goes on and on.
/// The first burst is not counted: it may hold padding, or most of a head.
#[derive(Debug, Clone, Copy, Default)]
pub struct FillerMeter {
    /// When the first byte came.
    since: Option<Timestamp>,
    /// When the current burst began.
    burst_at: Timestamp,
    /// Bytes of the current burst; none while it is the first one.
    burst_bytes: u64,
    /// Bytes of all bursts between the first and the current one.
    bytes: u64,
}

impl FillerMeter {
    /// Counts received bytes.
    pub fn push(&mut self, bytes: u64, now: Timestamp) {
        let Some(since) = self.since else {
            self.since = Some(now);
            self.burst_at = now;
            return;
        };
        if now.since(self.burst_at) >= BURST_TIME {
            self.bytes += std::mem::take(&mut self.burst_bytes);
            self.burst_at = now;
        }
        if self.burst_at > since {
            self.burst_bytes += bytes;
        }
    }

    /// Whether more has come than what keeps a connection open.
    pub fn is_exceeded(&self, now: Timestamp) -> bool {
        let elapsed = self.since.map_or(Duration::ZERO, |since| now.since(since));
        let allowed = BYTES_PER_SECOND * elapsed.as_secs_f64();
        self.bytes > RESERVE_BYTES + allowed as u64
    }

    /// Whether bytes have come, too recently to tell whether they go on.
    pub fn is_undecided(&self, now: Timestamp) -> bool {
        self.since
            .is_some_and(|since| now.since(since) < DECISION_TIME)
    }
}
