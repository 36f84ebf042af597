//! A sequential test.

use std::collections::BTreeMap;

use super::EngineKey;

/// A cumulative sum of log likelihood ratios that never falls below zero (Page 1954), so that a change
/// in the middle is found as fast as one at the start.
///
/// It knows what each engine has added since it last was zero: of one engine only so much counts, since
/// what one engine alone does wrong is not its software's fault.
#[derive(Debug, Clone, Default)]
pub(super) struct CumulativeSum {
    by_engine: BTreeMap<EngineKey, f64>,
}

impl CumulativeSum {
    /// Answers of an engine change the likelihood by so much.
    pub(super) fn step(&mut self, engine: EngineKey, log_ratio: f64) {
        *self.by_engine.entry(engine).or_default() += log_ratio;
        let sum: f64 = self.by_engine.values().sum();
        if sum <= 0.0 {
            self.by_engine.clear();
        }
    }

    /// The sum without the engine that has added most.
    pub(super) fn score_without_worst(&self) -> f64 {
        let parts = || self.by_engine.values().copied();
        let worst = parts().max_by(f64::total_cmp).unwrap_or_default();
        parts().sum::<f64>() - worst
    }

    /// The sum, of which one engine's part is at most `max_per_engine`.
    pub(super) fn score(&self, max_per_engine: f64) -> f64 {
        self.by_engine
            .values()
            .map(|part| part.min(max_per_engine))
            .sum()
    }
}
