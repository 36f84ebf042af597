//! The limit that an engine has named.

use std::time::Duration;

use super::{Place, share_of};
use crate::Timestamp;
use crate::limit::TokenBucket;

/// What a node may save up of its share, where that is more than a request: requests do not come evenly.
const BURST: Duration = Duration::from_secs(1);
/// A limit holds for so long after answers began to come without it: those may be left over from before.
const LEAST_PATIENCE: Duration = Duration::from_millis(500);
/// An engine may name its limit in some of its answers only. Then the limit holds for so many times as long as it was left out
/// before, within a bound.
const TIMES_LEFT_OUT: u32 = 4;
const MOST_PATIENCE: Duration = Duration::from_secs(10);
/// After that the engine, which has just been in need, is sent twice as much with each step for so long.
const RECOVERY: Duration = Duration::from_millis(1_500);
const RECOVERY_STEP: Duration = Duration::from_millis(500);
/// A limit that nobody has seen named for so long is over: those who were to tell so may have gone.
const LEAST_HOLD: Duration = Duration::from_secs(60);
const LONGEST_HOLD: Duration = Duration::from_secs(600);
/// Nodes that ask whether a limit is over use up this share of it at most.
const ASKING_SHARE: f64 = 0.1;
/// Thousandths of a request a second.
const MILLI: f64 = 1e3;
/// A higher rate limits no node.
const HIGHEST_RATE: f64 = 1e9;

/// The limit that an engine has named, and the share of it that this node may send.
#[derive(Debug, Clone)]
pub struct Limit {
    per_second: f64,
    named_at: Timestamp,
    /// Since when this node's answers come without it.
    unnamed_since: Option<Timestamp>,
    /// For how long they had done so with the last of them.
    unnamed_for: Duration,
    /// For how long it may be left out.
    patience: Duration,
    share: f64,
    bucket: TokenBucket,
    sent: u64,
}

impl Limit {
    /// A limit that has just been named. Until the share of this node is set it sends nothing.
    pub(super) fn new(per_second: f64, named_at: Timestamp) -> Self {
        Self {
            per_second,
            named_at,
            unnamed_since: None,
            unnamed_for: Duration::ZERO,
            patience: LEAST_PATIENCE,
            share: 0.0,
            bucket: TokenBucket::empty(0, BURST, named_at),
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
    pub fn named_at(&self) -> Timestamp {
        self.named_at
    }

    /// An answer names it, or did to another node.
    pub(super) fn name(&mut self, per_second: f64, at: Timestamp) {
        self.per_second = per_second;
        self.named_at = self.named_at.max(at);
        if let Some(since) = self.unnamed_since.take() {
            let left_out = at.since(since) * TIMES_LEFT_OUT;
            self.patience = self.patience.max(left_out).min(MOST_PATIENCE);
        }
        self.unnamed_for = Duration::ZERO;
    }

    /// An answer to a request that was sent at `sent_at` does not name it. Returns whether it is over.
    pub(super) fn leave_unnamed(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        if sent_at <= self.named_at {
            return false;
        }
        let since = *self.unnamed_since.get_or_insert(now);
        self.unnamed_for = now.since(since);
        self.unnamed_for >= self.patience + RECOVERY
    }

    /// Takes the place of this node among those that may send.
    pub(super) fn set_place(&mut self, place: &Place, now: Timestamp) {
        let recovering = self.unnamed_for.saturating_sub(self.patience);
        let steps = recovering.as_secs_f64() / RECOVERY_STEP.as_secs_f64();
        let grown = self.per_second * steps.exp2();
        self.share = share_of(grown, place);
        let rate_milli = self.share.min(HIGHEST_RATE) * MILLI;
        self.bucket.set_rate(rate_milli as u64, now);
    }

    /// Whether nobody has seen it named for so long that it must be over. The fewer requests it allows for all
    /// nodes together, the less often they may all ask.
    pub(super) fn is_outdated(&self, nodes: usize, now: Timestamp) -> bool {
        let asked_s = nodes as f64 / (self.per_second * ASKING_SHARE).max(f64::MIN_POSITIVE);
        let hold = asked_s.clamp(LEAST_HOLD.as_secs_f64(), LONGEST_HOLD.as_secs_f64());
        now.since(self.named_at).as_secs_f64() >= hold
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
