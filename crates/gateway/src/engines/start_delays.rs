//! How long requests take to begin.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;

/// After this time a measurement counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The longest time that requests of each pool took to begin lately.
///
/// A request that waits in an engine may begin after its weights have run out, and what other nodes
/// have sent there is only roughly known, so what was measured bounds the estimate from below.
#[derive(Debug, Default)]
pub struct StartDelays {
    pools: HashMap<PoolName, (Duration, Timestamp)>,
}

impl StartDelays {
    /// A request of a pool began `after` it had come.
    pub fn note(&mut self, pool: &PoolName, after: Duration, now: Timestamp) {
        if after >= self.max_recent(pool, now) {
            self.pools.insert(pool.clone(), (after, now));
        }
    }

    /// The longest time lately; older measurements count less.
    pub fn max_recent(&self, pool: &PoolName, now: Timestamp) -> Duration {
        let Some((measured, at)) = self.pools.get(pool) else {
            return Duration::ZERO;
        };
        let half_lives = now.since(*at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        measured.mul_f64(0.5_f64.powf(half_lives))
    }
}
