//! How long an engine keeps a cached prefix.

use std::time::Duration;

/// Estimates how long an engine's cache keeps a prefix that nobody uses, from the cached tokens
/// that its responses report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    duration: Duration,
}

/// Engines evict within seconds while their caches are under pressure. With such a short estimate,
/// requests would no longer return to the engines that held their prefixes, and the caches could not
/// recover.
const MIN_RETENTION: Duration = Duration::from_secs(10);
const MAX_RETENTION: Duration = Duration::from_secs(600);
const SHRINK_FACTOR: f64 = 0.8;
const GROWTH_FACTOR: f64 = 1.25;

impl Retention {
    /// Starts from an initial estimate.
    pub fn new(duration: Duration) -> Self {
        Self { duration }
    }

    /// Whether a prefix last used this long ago is expected to be cached.
    pub fn covers(self, age: Duration) -> bool {
        age <= self.duration
    }

    /// Records that a prefix last used this long ago was cached.
    pub fn found(&mut self, age: Duration) {
        if age.mul_f64(GROWTH_FACTOR) > self.duration {
            self.duration = age.mul_f64(GROWTH_FACTOR).min(MAX_RETENTION);
        }
    }

    /// Records that a prefix last used this long ago was expected in the cache but not found.
    pub fn missed(&mut self, age: Duration) {
        let shrunk = self.duration.mul_f64(SHRINK_FACTOR);
        self.duration = shrunk
            .max(age.min(self.duration).mul_f64(SHRINK_FACTOR))
            .max(MIN_RETENTION);
    }
}
