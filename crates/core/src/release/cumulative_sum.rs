//! Cumulative sum test.

use std::collections::BTreeMap;

use super::EngineKey;

/// Cumulative sum (CUSUM) of log likelihood ratios that is reset when it falls to zero (Page 1954).
/// A change is therefore detected as fast in the middle of a release as at its start.
///
/// The parts that single engines have contributed since the last reset are kept separately. The
/// contribution of one engine to the score can then be limited, since its faults need not be caused
/// by the software.
#[derive(Debug, Clone, Default)]
pub(super) struct CumulativeSum {
    by_engine: BTreeMap<EngineKey, f64>,
}

impl CumulativeSum {
    /// Adds the log likelihood ratio of an engine's answers.
    pub(super) fn step(&mut self, engine: EngineKey, log_ratio: f64) {
        *self.by_engine.entry(engine).or_default() += log_ratio;
        let sum: f64 = self.by_engine.values().sum();
        if sum <= 0.0 {
            self.by_engine.clear();
        }
    }

    /// The sum without the engine that has contributed most.
    pub(super) fn score_without_worst(&self) -> f64 {
        let parts = || self.by_engine.values().copied();
        let worst = parts().max_by(f64::total_cmp).unwrap_or_default();
        parts().sum::<f64>() - worst
    }

    /// The sum, with the part of each engine limited to `max_per_engine`.
    pub(super) fn score(&self, max_per_engine: f64) -> f64 {
        self.by_engine
            .values()
            .map(|part| part.min(max_per_engine))
            .sum()
    }
}
