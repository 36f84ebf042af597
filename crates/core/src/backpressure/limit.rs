//! Rate limit that an engine advertises.

use std::time::Duration;

use super::{Position, sender_share};
use crate::Timestamp;
use crate::limit::TokenBucket;

/// A node may accumulate its share over this time, and at least one request, because requests do not arrive evenly.
const BURST: Duration = Duration::from_secs(1);
/// A limit stays in force for this long after responses began to omit it, because such responses may date from before
/// the limit.
const MIN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// An engine may advertise its limit in only some of its responses. The limit then stays in force for this many times
/// the longest gap between two advertisements, up to a maximum.
const GRACE_FACTOR: u32 = 4;
const MAX_GRACE_PERIOD: Duration = Duration::from_secs(10);
/// After the grace period the rate doubles with each step during the recovery, because the engine was overloaded until
/// just now.
const RECOVERY: Duration = Duration::from_millis(1_500);
const RECOVERY_STEP: Duration = Duration::from_millis(500);
/// Bounds of the time after which a limit expires that no node has seen advertised. The nodes that should have reported
/// its end may be gone.
const MIN_RETENTION: Duration = Duration::from_secs(60);
const MAX_RETENTION: Duration = Duration::from_secs(600);
/// Maximum share of the limit that nodes use to probe whether it has ended.
const PROBE_SHARE: f64 = 0.1;
/// Thousandths of a request per second.
const MILLI: f64 = 1e3;
/// Upper bound of the rate passed to the token bucket; a higher rate does not limit any node.
const MAX_RATE: f64 = 1e9;

/// Rate limit that an engine advertises, and this node's share of it.
#[derive(Debug, Clone)]
pub struct Limit {
    per_second: f64,
    advertised_at: Timestamp,
    /// Since when the responses to this node omit the limit.
    omitted_since: Option<Timestamp>,
    /// For how long the responses had omitted the limit when the last of them arrived.
    omitted_for: Duration,
    /// For how long responses may omit the limit before it begins to recover.
    grace_period: Duration,
    share: f64,
    bucket: TokenBucket,
    sent: u64,
}

impl Limit {
    /// A limit that has just been advertised. It allows no request until the position of this node is set.
    pub(super) fn new(per_second: f64, advertised_at: Timestamp) -> Self {
        Self {
            per_second,
            advertised_at,
            omitted_since: None,
            omitted_for: Duration::ZERO,
            grace_period: MIN_GRACE_PERIOD,
            share: 0.0,
            bucket: TokenBucket::empty(0, BURST, advertised_at),
            sent: 0,
        }
    }

    /// Requests per second that the engine accepts from all nodes together.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Requests per second that this node may send.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Number of requests that this node has sent since the limit was first advertised.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// When the limit was last advertised to any node, as far as known.
    pub fn advertised_at(&self) -> Timestamp {
        self.advertised_at
    }

    /// Applies a limit that a response advertised to this node or to another.
    pub(super) fn advertise(&mut self, per_second: f64, at: Timestamp) {
        self.per_second = per_second;
        self.advertised_at = self.advertised_at.max(at);
        if let Some(since) = self.omitted_since.take() {
            let required = at.since(since) * GRACE_FACTOR;
            self.grace_period = self.grace_period.max(required).min(MAX_GRACE_PERIOD);
        }
        self.omitted_for = Duration::ZERO;
    }

    /// Records that the response to a request sent at `sent_at` omits the limit. Returns whether the limit has ended.
    pub(super) fn record_omission(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        if sent_at <= self.advertised_at {
            return false;
        }
        let since = *self.omitted_since.get_or_insert(now);
        self.omitted_for = now.since(since);
        self.omitted_for >= self.grace_period + RECOVERY
    }

    /// Updates this node's share from its position among the senders.
    pub(super) fn set_position(&mut self, position: &Position, now: Timestamp) {
        let recovering = self.omitted_for.saturating_sub(self.grace_period);
        let steps = recovering.as_secs_f64() / RECOVERY_STEP.as_secs_f64();
        let recovered_rate = self.per_second * steps.exp2();
        self.share = sender_share(recovered_rate, position);
        let rate_milli = self.share.min(MAX_RATE) * MILLI;
        self.bucket.set_rate(rate_milli as u64, now);
    }

    /// Whether no node has seen the limit advertised for so long that it must have ended. The lower the limit, the less
    /// often all nodes together may probe it, and the longer it is kept.
    pub(super) fn is_expired(&self, nodes: usize, now: Timestamp) -> bool {
        let probe_interval_s =
            nodes as f64 / (self.per_second * PROBE_SHARE).max(f64::MIN_POSITIVE);
        let retention =
            probe_interval_s.clamp(MIN_RETENTION.as_secs_f64(), MAX_RETENTION.as_secs_f64());
        now.since(self.advertised_at).as_secs_f64() >= retention
    }

    /// When this node may send the next request; `None` when it may send none.
    pub(super) fn next_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.bucket.next_at(now)
    }

    /// Records that a request is sent.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.sent += self.bucket.take(1, now);
    }
}
