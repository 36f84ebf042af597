//! How often prefixes are asked for.

use std::time::Duration;

use super::{DecayedRate, GenerationalMap};
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

/// How often prefixes are asked for, as this process sees it; bounded.
#[derive(Debug, Clone)]
pub struct PrefixRequestRates {
    time_constant: Duration,
    rates: GenerationalMap<DecayedRate>,
}

impl PrefixRequestRates {
    /// Knows nothing; remembers up to twice `generation_size` prefixes.
    pub fn new(generation_size: usize, time_constant: Duration) -> Self {
        Self {
            time_constant,
            rates: GenerationalMap::new(generation_size),
        }
    }

    /// Counts one request for a prefix.
    pub fn count(&mut self, prefix: BlockHash, now: Timestamp) {
        self.rates
            .get_or_insert_with(prefix, || DecayedRate::new(now))
            .add(1.0, now, self.time_constant);
    }

    /// Requests a second for a prefix; 0 when it is not known.
    pub fn per_second(&self, prefix: BlockHash, now: Timestamp) -> f64 {
        self.rates
            .get(prefix)
            .map_or(0.0, |rate| rate.per_second(now, self.time_constant))
    }

    /// Whether the prefix has been asked for before.
    pub fn knows(&self, prefix: BlockHash) -> bool {
        self.rates.get(prefix).is_some()
    }
}
