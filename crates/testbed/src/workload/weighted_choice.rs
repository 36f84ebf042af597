//! Random choice among numbers with unequal weights.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws numbers from 0 whose probability falls with a power of their rank, or with given parts.
#[derive(Debug, Clone)]
pub(super) struct WeightedChoice {
    cumulative: Vec<f64>,
}

impl WeightedChoice {
    /// Numbers below `size` by Zipf's law.
    pub fn zipf(size: u32, exponent: f64) -> Self {
        Self::new((1..=size).map(|rank| f64::from(rank).powf(-exponent)))
    }

    /// Numbers with these parts of the whole.
    pub fn new(parts: impl IntoIterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let cumulative = parts.into_iter().map(|part| {
            sum += part;
            sum
        });
        Self {
            cumulative: cumulative.collect(),
        }
    }

    /// Draws a number.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let whole = self.cumulative.last().copied().unwrap_or_default();
        let point = rng.random::<f64>() * whole;
        let index = self.cumulative.partition_point(|sum| *sum <= point);
        index.min(self.cumulative.len().saturating_sub(1))
    }
}
