//! How long an engine keeps what it cached.

use std::time::Duration;

/// Estimates how long an engine's cache keeps a prefix that nobody uses, from what its answers say
/// of cached tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    duration: Duration,
}

/// Engines evict within seconds, but a shorter estimate would forget, while caches are crowded, the
/// very engines that requests must keep to for caches to recover.
const MIN_RETENTION: Duration = Duration::from_secs(10);
const MAX_RETENTION: Duration = Duration::from_secs(600);
const SHRINK_FACTOR: f64 = 0.8;
const GROWTH_FACTOR: f64 = 1.25;

impl Retention {
    /// Starts from a guess.
    pub fn new(duration: Duration) -> Self {
        Self { duration }
    }

    /// Whether a prefix last used so long ago is expected to be cached.
    pub fn covers(self, age: Duration) -> bool {
        age <= self.duration
    }

    /// A prefix last used so long ago was found.
    pub fn found(&mut self, age: Duration) {
        if age.mul_f64(GROWTH_FACTOR) > self.duration {
            self.duration = age.mul_f64(GROWTH_FACTOR).min(MAX_RETENTION);
        }
    }

    /// A prefix last used so long ago, expected to be cached, was gone.
    pub fn missed(&mut self, age: Duration) {
        let shrunk = self.duration.mul_f64(SHRINK_FACTOR);
        self.duration = shrunk
            .max(age.min(self.duration).mul_f64(SHRINK_FACTOR))
            .max(MIN_RETENTION);
    }
}
