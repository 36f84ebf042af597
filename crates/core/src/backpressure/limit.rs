//! The limit that an engine has named.

use std::time::Duration;

use super::{SenderPosition, sender_share};
use crate::Timestamp;
use crate::limit::TokenBucket;

/// What a node may save up of its share, where that is more than a request: requests do not come evenly.
const BURST: Duration = Duration::from_secs(1);
/// A limit holds for so long after answers began to come without it: those may be left over from before.
const MIN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// An engine may name its limit in some of its answers only. Then the limit holds for so many times as long as it was left out
/// before, within a bound.
const GRACE_FACTOR: u32 = 4;
const MAX_GRACE_PERIOD: Duration = Duration::from_secs(10);
/// After that the engine, which has just been in need, is sent twice as much with each step for so long.
const RECOVERY: Duration = Duration::from_millis(1_500);
const RECOVERY_STEP: Duration = Duration::from_millis(500);
/// A limit that nobody has seen named for so long is over: those who were to tell so may have gone.
const MIN_RETENTION: Duration = Duration::from_secs(60);
const MAX_RETENTION: Duration = Duration::from_secs(600);
/// Nodes that ask whether a limit is over use up this share of it at most.
const PROBE_SHARE: f64 = 0.1;
/// Thousandths of a request a second.
const MILLI: f64 = 1e3;
/// A higher rate limits no node.
const MAX_RATE: f64 = 1e9;

/// The limit that an engine has named, and the share of it that this node may send.
#[derive(Debug, Clone)]
pub struct Limit {
    per_second: f64,
    advertised_at: Timestamp,
    /// Since when this node's answers come without it.
    omitted_since: Option<Timestamp>,
    /// For how long they had done so with the last of them.
    omitted_for: Duration,
    /// For how long it may be left out.
    grace_period: Duration,
    share: f64,
    bucket: TokenBucket,
    sent: u64,
}

impl Limit {
    /// A limit that has just been named. Until the share of this node is set it sends nothing.
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

    /// Requests a second that the engine takes from all nodes together.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Requests a second that this node may send.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// How many it has sent since the limit was named.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// When it was last named, as far as known.
    pub fn advertised_at(&self) -> Timestamp {
        self.advertised_at
    }

    /// An answer names it, or did to another node.
    pub(super) fn advertise(&mut self, per_second: f64, at: Timestamp) {
        self.per_second = per_second;
        self.advertised_at = self.advertised_at.max(at);
        if let Some(since) = self.omitted_since.take() {
            let required = at.since(since) * GRACE_FACTOR;
            self.grace_period = self.grace_period.max(required).min(MAX_GRACE_PERIOD);
        }
        self.omitted_for = Duration::ZERO;
    }

    /// An answer to a request that was sent at `sent_at` does not name it. Returns whether it is over.
    pub(super) fn record_omission(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        if sent_at <= self.advertised_at {
            return false;
        }
        let since = *self.omitted_since.get_or_insert(now);
        self.omitted_for = now.since(since);
        self.omitted_for >= self.grace_period + RECOVERY
    }

    /// Takes the place of this node among those that may send.
    pub(super) fn set_position(&mut self, position: &SenderPosition, now: Timestamp) {
        let recovering = self.omitted_for.saturating_sub(self.grace_period);
        let steps = recovering.as_secs_f64() / RECOVERY_STEP.as_secs_f64();
        let recovered_rate = self.per_second * steps.exp2();
        self.share = sender_share(recovered_rate, position);
        let rate_milli = self.share.min(MAX_RATE) * MILLI;
        self.bucket.set_rate(rate_milli as u64, now);
    }

    /// Whether nobody has seen it named for so long that it must be over. The fewer requests it allows for all
    /// nodes together, the less often they may all ask.
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

    /// A request is sent.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.sent += self.bucket.take(1, now);
    }
}
