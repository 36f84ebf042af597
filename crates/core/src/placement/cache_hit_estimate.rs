//! How much of an unknown prefix the first engine in order holds.

use crate::dispatch::Priority;

/// Classes by length: each holds prefixes up to twice as long as the one before.
const LENGTH_CLASSES: usize = 20;
/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Learns how much of a shared prefix is found in the first engine in order when this process has
/// not sent it there itself, because other processes have.
///
/// Prefixes that many callers share are found almost always, so the order is worth keeping to;
/// those of a single caller never are, so the least loaded engine may take them. Priority and
/// length tell such kinds of work apart well enough.
#[derive(Debug, Clone)]
pub struct CacheHitEstimate {
    classes: [[f64; LENGTH_CLASSES]; 2],
}

impl CacheHitEstimate {
    /// Starts from a guess for all classes.
    pub fn new(initial: f64) -> Self {
        Self {
            classes: [[initial; LENGTH_CLASSES]; 2],
        }
    }

    /// Share of `tokens` unknown tokens that is expected.
    pub fn expected(&self, priority: Priority, tokens: f64) -> f64 {
        self.classes[priority as usize][length_class(tokens)]
    }

    /// Takes the share that was found.
    pub fn observe(&mut self, priority: Priority, tokens: f64, share: f64) {
        let estimate = &mut self.classes[priority as usize][length_class(tokens)];
        *estimate += SAMPLE_WEIGHT * (share.clamp(0.0, 1.0) - *estimate);
    }
}

fn length_class(tokens: f64) -> usize {
    (tokens.max(1.0).log2() as usize).min(LENGTH_CLASSES - 1)
}
