//! Random times of arrival.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws the time until the next of events that happen independently, `mean` apart on average.
pub(super) fn exponential(mean: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = rng.random();
    mean.mul_f64(-(1.0 - uniform).ln())
}
