//! An estimate of a store's delay.

/// Minimum spread assumed of first tokens. A few measurements may be alike by chance.
const MIN_SPREAD: f64 = 0.2;
/// Minimum delay of either sign that nodes tell each other, in milliseconds.
const MIN_NOTICEABLE_MS: f64 = 75.0;
/// Number of standard errors by which such a delay has to differ from zero.
const NOTICEABLE_ERRORS: f64 = 1.5;
/// Number of standard errors by which a delay has to differ from zero for a store to be called slow.
/// Chance alone exceeds it in one of 700 cases.
const CLEAR_ERRORS: f64 = 3.0;
/// Minimum weight of an estimate from which a store is called slow.
const MIN_CLEAR_WEIGHT: f64 = 6.0;

/// An estimate of a store's delay: the difference between two groups of requests.
///
/// The delay itself is a difference of means. Whether it is clear is judged on a logarithmic scale,
/// since a few requests that wait for seconds hide the difference of the means.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayEstimate {
    /// The delay in milliseconds; negative if requests that fetch from the store were quicker.
    pub delay_ms: f64,
    /// Weight of the measurements: the harmonic sum of the sizes of both groups. The squared error
    /// of the difference is inverse to it.
    pub weight: f64,
    /// Difference of the means on the logarithmic scale.
    pub log_ratio: f64,
    /// Standard deviation of single requests on the logarithmic scale.
    pub spread: f64,
}

impl DelayEstimate {
    /// The weighted mean of several estimates; `None` if they have no weight.
    pub fn combine(estimates: impl IntoIterator<Item = Self>) -> Option<Self> {
        let mut sum = Self {
            delay_ms: 0.0,
            weight: 0.0,
            log_ratio: 0.0,
            spread: 0.0,
        };
        for estimate in estimates {
            sum.delay_ms += estimate.weight * estimate.delay_ms;
            sum.log_ratio += estimate.weight * estimate.log_ratio;
            sum.spread += estimate.weight * estimate.spread;
            sum.weight += estimate.weight;
        }
        (sum.weight > 0.0).then(|| Self {
            delay_ms: sum.delay_ms / sum.weight,
            weight: sum.weight,
            log_ratio: sum.log_ratio / sum.weight,
            spread: sum.spread / sum.weight,
        })
    }

    /// Standard error on the logarithmic scale.
    pub fn error(&self) -> f64 {
        self.spread.max(MIN_SPREAD) / self.weight.sqrt()
    }

    /// Whether the delay, of either sign, is worth telling others.
    pub fn is_noticeable(&self) -> bool {
        let is_large = self.delay_ms.abs() >= MIN_NOTICEABLE_MS;
        is_large && self.log_ratio.abs() >= NOTICEABLE_ERRORS * self.error()
    }

    /// Whether there are enough measurements, and the delay is too large for chance.
    pub fn is_clear(&self) -> bool {
        self.weight >= MIN_CLEAR_WEIGHT && self.log_ratio >= CLEAR_ERRORS * self.error()
    }
}
