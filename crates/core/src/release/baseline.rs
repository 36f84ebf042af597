//! How the present version does.

use super::Tally;

/// What is taken for the present version's answers before any was seen: so many, of which
/// [`MIN_BAD_RATE`] were bad. Enough for the first bad answer of either version not to decide alone.
const PRIOR_ANSWERS: f64 = 40.0;
/// Services answer some requests with errors in calm times too; below this rate no version is held
/// against another.
const MIN_BAD_RATE: f64 = 0.01;
/// Above this rate the present version is taken to fail this often: with the largest excess that a worse
/// version is tested for, the rate must stay below one.
const MAX_BAD_RATE: f64 = 0.45;
/// So many answers later the earlier ones count a half: some seconds of a pool's traffic, so that a
/// disruption that both versions meet is known from the present one's answers.
const HALF_LIFE_ANSWERS: f64 = 400.0;

/// How often the present version's answers on a route are bad, lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Baseline {
    answers: f64,
    bad: f64,
}

impl Baseline {
    /// More answers.
    pub fn note(&mut self, tally: Tally) {
        let kept = 0.5_f64.powf(f64::from(tally.answers) / HALF_LIFE_ANSWERS);
        self.answers = self.answers * kept + f64::from(tally.answers);
        self.bad = self.bad * kept + f64::from(tally.bad());
    }

    /// Share of its answers that are bad.
    pub fn bad_rate(&self) -> f64 {
        let bad = self.bad + PRIOR_ANSWERS * MIN_BAD_RATE;
        let rate = bad / (self.answers + PRIOR_ANSWERS);
        rate.clamp(MIN_BAD_RATE, MAX_BAD_RATE)
    }
}
