//! Demand for prefill from prefill-heavy requests.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::quota::Meter;
use serde::{Deserialize, Serialize};

/// Demand is averaged over this time: long enough that the prefill split does not follow single
/// prompts, short enough to follow a burst.
const AVERAGING_TIME: Duration = Duration::from_secs(4);

/// Prompt tokens per second that prefill-heavy requests bring to a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillDemandUpdate(pub PoolName, pub u32);

/// Prompt tokens per second that prefill-heavy requests bring to each pool, summed over all nodes.
#[derive(Debug, Default)]
pub struct PrefillDemand {
    own: BTreeMap<PoolName, Meter>,
    others: HashMap<PoolName, f64>,
}

impl PrefillDemand {
    /// Records a prefill-heavy request for the pool with this many prompt tokens to prefill.
    pub fn count(&mut self, pool: &PoolName, tokens: u32, now: Timestamp) {
        let fresh = || Meter::new(AVERAGING_TIME, now);
        let own = self.own.entry(pool.clone()).or_insert_with(fresh);
        own.count(f64::from(tokens), now);
    }

    /// The demand at this node, to be sent to the other nodes.
    pub fn updates(&self, now: Timestamp) -> Vec<PrefillDemandUpdate> {
        let own = self.own.iter();
        let reported = own
            .map(|(pool, meter)| PrefillDemandUpdate(pool.clone(), meter.per_second(now) as u32));
        reported
            .filter(|PrefillDemandUpdate(_, tokens)| *tokens > 0)
            .collect()
    }

    /// Replaces the sum of the demand that other nodes report.
    pub fn set_others(&mut self, others: HashMap<PoolName, f64>) {
        self.others = others;
    }

    /// Demand for the pool at all nodes, in prompt tokens per second.
    pub fn per_second(&self, pool: &PoolName, now: Timestamp) -> f64 {
        let own = self
            .own
            .get(pool)
            .map_or(0.0, |meter| meter.per_second(now));
        own + self.others.get(pool).copied().unwrap_or_default()
    }
}
