//! A model of the rate-limited weight store.

use std::time::Duration;

use ryerouter_core::Timestamp;

/// The rate-limited weight store: a load takes `load_time` while at most `full_speed_loads` run at
/// once; a load that starts as the n-th beyond takes `n ÷ full_speed_loads` times as long.
#[derive(Debug, Clone)]
pub struct WeightStoreModel {
    load_time: Duration,
    full_speed_loads: u32,
    ends: Vec<Timestamp>,
}

impl WeightStoreModel {
    /// A store that serves `full_speed_loads` loads at once in `load_time` each.
    pub fn new(load_time: Duration, full_speed_loads: u32) -> Self {
        Self {
            load_time,
            full_speed_loads: full_speed_loads.max(1),
            ends: Vec::new(),
        }
    }

    /// Starts a load and says when it is complete.
    pub fn start_load(&mut self, now: Timestamp) -> Timestamp {
        self.ends.retain(|end| *end > now);
        let at_once = self.ends.len() as u32 + 1;
        let stretch =
            f64::from(at_once.max(self.full_speed_loads)) / f64::from(self.full_speed_loads);
        let end = now.after(self.load_time.mul_f64(stretch));
        self.ends.push(end);
        end
    }

    /// Loads under way.
    pub fn loads_at_once(&self, now: Timestamp) -> usize {
        self.ends.iter().filter(|end| **end > now).count()
    }
}
