//! Expected cached share of a prefix that this process has not sent.

use crate::dispatch::Priority;

/// Number of length classes. Each holds prefixes up to twice as long as the class before.
const LENGTH_CLASSES: usize = 20;
/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Estimates how much of a prefix that this process has not sent is cached in the first engine of
/// the candidate order because other processes have sent it there.
///
/// A prefix used by many callers is almost always cached there, so following the order pays off. A
/// prefix of a single caller is never cached there, so the least loaded engine may serve it.
/// Priority and length distinguish these kinds of requests well enough.
#[derive(Debug, Clone)]
pub struct CacheHitEstimate {
    classes: [[f64; LENGTH_CLASSES]; 2],
}

impl CacheHitEstimate {
    /// Starts with `initial` for all classes.
    pub fn new(initial: f64) -> Self {
        Self {
            classes: [[initial; LENGTH_CLASSES]; 2],
        }
    }

    /// Expected cached share of `tokens` tokens that this process has not sent.
    pub fn expected(&self, priority: Priority, tokens: f64) -> f64 {
        self.classes[priority as usize][length_class(tokens)]
    }

    /// Records the share that was found to be cached.
    pub fn observe(&mut self, priority: Priority, tokens: f64, share: f64) {
        let estimate = &mut self.classes[priority as usize][length_class(tokens)];
        *estimate += SAMPLE_WEIGHT * (share.clamp(0.0, 1.0) - *estimate);
    }
}

fn length_class(tokens: f64) -> usize {
    (tokens.max(1.0).log2() as usize).min(LENGTH_CLASSES - 1)
}
