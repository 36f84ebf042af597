//! Rate of bad answers of the present version.

use super::Tally;

/// Number of assumed answers that are added to the counted ones; a share of [`MIN_BAD_RATE`] of them
/// is bad. It is large enough that the first bad answer of either version doesn't decide alone.
const PRIOR_ANSWERS: f64 = 40.0;
/// Lower bound of the rate. Services answer some requests with errors even in normal operation, so
/// smaller rates are not used to compare versions.
const MIN_BAD_RATE: f64 = 0.01;
/// Upper bound of the rate. The sum of the rate and the largest excess share that the target version
/// is tested for (0.5) must stay below one.
const MAX_BAD_RATE: f64 = 0.45;
/// Number of further answers after which earlier ones count half. They span a few seconds of a
/// pool's traffic, so a disruption of both versions shows in the present version's rate.
const HALF_LIFE_ANSWERS: f64 = 400.0;

/// Recent share of bad answers of the present version on one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct Baseline {
    answers: f64,
    bad: f64,
}

impl Baseline {
    /// Adds answers.
    pub fn note(&mut self, tally: Tally) {
        let decay = 0.5_f64.powf(f64::from(tally.answers) / HALF_LIFE_ANSWERS);
        self.answers = self.answers * decay + f64::from(tally.answers);
        self.bad = self.bad * decay + f64::from(tally.bad());
    }

    /// Estimated share of bad answers.
    pub fn bad_rate(&self) -> f64 {
        let bad = self.bad + PRIOR_ANSWERS * MIN_BAD_RATE;
        let rate = bad / (self.answers + PRIOR_ANSWERS);
        rate.clamp(MIN_BAD_RATE, MAX_BAD_RATE)
    }
}
