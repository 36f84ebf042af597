//! Request rates of prefixes.

use std::time::Duration;

use super::{DecayedRate, GenerationalMap};
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

/// How often prefixes are requested, as seen by this process; bounded in size.
#[derive(Debug, Clone)]
pub struct PrefixRequestRates {
    time_constant: Duration,
    rates: GenerationalMap<DecayedRate>,
}

impl PrefixRequestRates {
    /// Creates an empty table of at most twice `generation_size` prefixes.
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

    /// Requests per second for a prefix; 0 if the prefix is not in the table.
    pub fn per_second(&self, prefix: BlockHash, now: Timestamp) -> f64 {
        self.rates
            .get(prefix)
            .map_or(0.0, |rate| rate.per_second(now, self.time_constant))
    }

    /// Whether the prefix has been requested before, as far as the table goes back.
    pub fn knows(&self, prefix: BlockHash) -> bool {
        self.rates.get(prefix).is_some()
    }
}
