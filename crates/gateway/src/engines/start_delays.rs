//! Time from the arrival of requests to the start of their answers.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;

/// A measurement counts half after this time.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Longest recent start delay of each pool's requests.
///
/// A request queued in an engine may start after the deadline of its weights. The load that other
/// nodes have placed on the engine is known only roughly, so the measured delay is a lower bound
/// for the estimate.
#[derive(Debug, Default)]
pub struct StartDelays {
    pools: HashMap<PoolName, (Duration, Timestamp)>,
}

impl StartDelays {
    /// Records that the answer to a request of the pool started this long `after` its arrival.
    pub fn note(&mut self, pool: &PoolName, after: Duration, now: Timestamp) {
        if after >= self.max_recent(pool, now) {
            self.pools.insert(pool.clone(), (after, now));
        }
    }

    /// The longest recent delay; older measurements count less.
    pub fn max_recent(&self, pool: &PoolName, now: Timestamp) -> Duration {
        let Some((measured, at)) = self.pools.get(pool) else {
            return Duration::ZERO;
        };
        let half_lives = now.since(*at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        measured.mul_f64(0.5_f64.powf(half_lives))
    }
}
