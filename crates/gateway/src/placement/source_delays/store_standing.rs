//! Whether a store is slow, and how many requests may use it meanwhile.

use std::time::Duration;

use ryerouter_core::Timestamp;

use super::DelayEstimate;

/// A store with a longer delay becomes slow. Reading some thousand tokens takes as long.
const SLOW_DELAY_MS: f64 = 200.0;
/// A slow store with a shorter delay becomes quick.
const QUICK_DELAY_MS: f64 = 100.0;
/// A store becomes slow once it has had a long delay for this time: within it, the nodes that have
/// not noticed a delay report too.
const SLOW_AFTER: Duration = Duration::from_millis(300);
/// A store becomes quick once it has had a short delay, or nobody has measured it, for this time.
const QUICK_AFTER: Duration = Duration::from_secs(1);
/// An estimate of less weight says nothing about a slow store.
const MIN_SLOW_WEIGHT: f64 = 1.0;
/// Share of requests that use a slow store as if it were quick, to see its recovery.
const MIN_SHARE: f64 = 0.125;
/// Time in which the share of requests that use a slow store halves, down to [`MIN_SHARE`].
const SHARE_HALF_LIFE: Duration = Duration::from_millis(500);
/// Time in which the share rises from none to all once the store is quick. It exceeds the time that
/// measurements need, so that a store that can't take all requests is slow again before it has them.
const SHARE_RECOVERY: Duration = Duration::from_secs(6);

/// Whether a store is slow, and which share of requests uses it as if it were quick.
///
/// All nodes know about the same measurements. The share changes gradually, so that they neither
/// leave a store nor return to it all at once.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoreStanding {
    is_slow: bool,
    /// Since when the estimate has contradicted `is_slow`.
    contradicted_since: Option<Timestamp>,
    delay_ms: f64,
    is_noticeable: bool,
    share: f64,
    updated_at: Option<Timestamp>,
}

impl Default for StoreStanding {
    fn default() -> Self {
        Self {
            is_slow: false,
            contradicted_since: None,
            delay_ms: 0.0,
            is_noticeable: false,
            share: 1.0,
            updated_at: None,
        }
    }
}

impl StoreStanding {
    /// Applies the current estimate; returns whether the store has become slow or quick.
    pub(super) fn update(&mut self, estimate: Option<DelayEstimate>, now: Timestamp) -> bool {
        self.adjust_share(now);
        self.is_noticeable = estimate.is_some_and(|estimate| estimate.is_noticeable());
        let usable = estimate.filter(|estimate| estimate.weight >= MIN_SLOW_WEIGHT);
        if let Some(estimate) = usable {
            self.delay_ms = estimate.delay_ms.max(0.0);
        }
        let (is_contradicted, after) = match self.is_slow {
            true => {
                let is_long = |estimate: DelayEstimate| estimate.delay_ms >= QUICK_DELAY_MS;
                (!usable.is_some_and(is_long), QUICK_AFTER)
            }
            false => {
                let is_long = |estimate: DelayEstimate| {
                    estimate.is_clear() && estimate.delay_ms >= SLOW_DELAY_MS
                };
                (usable.is_some_and(is_long), SLOW_AFTER)
            }
        };
        if !is_contradicted {
            self.contradicted_since = None;
            return false;
        }
        let since = *self.contradicted_since.get_or_insert(now);
        let has_changed = now.since(since) >= after;
        if has_changed {
            self.is_slow = !self.is_slow;
            self.contradicted_since = None;
        }
        has_changed
    }

    fn adjust_share(&mut self, now: Timestamp) {
        let since = self.updated_at.replace(now);
        let elapsed = since.map_or(Duration::ZERO, |since| now.since(since));
        self.share = match self.is_slow {
            true => {
                let half_lives = elapsed.as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64();
                (self.share * 0.5_f64.powf(half_lives)).max(MIN_SHARE)
            }
            false => {
                let gained = elapsed.as_secs_f64() / SHARE_RECOVERY.as_secs_f64();
                (self.share + gained).min(1.0)
            }
        };
    }

    pub(super) fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Whether a delay is noticeable, or was lately.
    pub(super) fn is_watched(&self) -> bool {
        self.is_noticeable || self.is_restricted()
    }

    /// Whether some requests avoid the store.
    fn is_restricted(&self) -> bool {
        self.is_slow || self.share < 1.0
    }

    /// The delay that a request should expect. Requests with a hash in the share expect none.
    pub(super) fn delay_for(&self, request_hash: u64) -> Duration {
        let position = request_hash as f64 / u64::MAX as f64;
        if !self.is_restricted() || position < self.share {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.delay_ms.max(QUICK_DELAY_MS) / 1e3)
    }

    /// The measured delay; zero while the store is quick.
    pub(super) fn slow_delay(&self) -> Duration {
        match self.is_slow {
            true => Duration::from_secs_f64(self.delay_ms / 1e3),
            false => Duration::ZERO,
        }
    }
}
