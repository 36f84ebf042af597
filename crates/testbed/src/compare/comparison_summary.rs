//! A comparison as one flat JSON object.

use serde::Serialize;

use super::{Comparison, Policy, PolicyReport};

/// Ours against the best oracle and the best baseline of each measure, flat.
///
/// The best oracle of one measure need not be that of another: each goal is held against the
/// strictest of them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ComparisonSummary {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Requests measured.
    pub requests: u64,
    /// Share of prompt tokens from a cache.
    pub ours_hit_rate: f64,
    /// The same of the best oracle.
    pub oracle_hit_rate: f64,
    /// The same of the best baseline.
    pub best_baseline_hit_rate: f64,
    /// First-token time that 99 of 100 interactive requests do not exceed.
    pub ours_ttft_p99_ms: f64,
    /// The same of the best oracle.
    pub oracle_ttft_p99_ms: f64,
    /// The same of the best baseline.
    pub best_baseline_ttft_p99_ms: f64,
    /// First-token time that 99 of 100 batch requests do not exceed.
    pub ours_batch_ttft_p99_ms: f64,
    /// The same of the best oracle.
    pub oracle_batch_ttft_p99_ms: f64,
    /// Prompt tokens computed that some engine had computed before.
    pub ours_wasted_tokens: u64,
    /// The same of the best oracle.
    pub oracle_wasted_tokens: u64,
    /// The same of the best baseline.
    pub best_baseline_wasted_tokens: u64,
    /// Requests refused.
    pub ours_refused: u64,
    /// The most that an oracle refused.
    pub oracle_refused: u64,
    /// Requests that taking turns refused.
    pub round_robin_refused: u64,
    /// Requests that the least loaded policy refused.
    pub least_loaded_refused: u64,
    /// Requests that the session hash refused.
    pub session_hash_refused: u64,
    /// Requests that the consistent hash refused.
    pub consistent_hash_refused: u64,
    /// Requests that had not ended a minute after the last arrival.
    pub ours_unfinished: u64,
    /// Requests answered whole.
    pub ours_completed: u64,
    /// Load of the engines under ours.
    pub ours_engine_load: f64,
    /// The same under the oracle that loads them least.
    pub oracle_engine_load: f64,
    /// Hash of everything that happened under ours.
    pub ours_trace_hash: String,
}

impl ComparisonSummary {
    /// Sums a comparison of all policies up; `None` when one is missing.
    pub fn new(comparison: &Comparison) -> Option<Self> {
        let ours = comparison.report(Policy::Ours)?;
        let oracles = select(comparison, Policy::is_oracle);
        let baselines = select(comparison, Policy::is_baseline);
        let refused = |policy| Some(comparison.report(policy)?.refused);
        Some(Self {
            scenario: comparison.scenario.clone(),
            seed: comparison.seed,
            requests: ours.requests,
            ours_hit_rate: ours.hit_rate,
            oracle_hit_rate: most(&oracles, |report| report.hit_rate)?,
            best_baseline_hit_rate: most(&baselines, |report| report.hit_rate)?,
            ours_ttft_p99_ms: ours.ttft_p99_ms,
            oracle_ttft_p99_ms: least(&oracles, |report| report.ttft_p99_ms)?,
            best_baseline_ttft_p99_ms: least(&baselines, |report| report.ttft_p99_ms)?,
            ours_batch_ttft_p99_ms: ours.batch_ttft_p99_ms,
            oracle_batch_ttft_p99_ms: least(&oracles, |report| report.batch_ttft_p99_ms)?,
            ours_wasted_tokens: ours.wasted_tokens,
            oracle_wasted_tokens: least_tokens(&oracles)?,
            best_baseline_wasted_tokens: least_tokens(&baselines)?,
            ours_refused: ours.refused,
            oracle_refused: oracles.iter().map(|report| report.refused).max()?,
            round_robin_refused: refused(Policy::RoundRobin)?,
            least_loaded_refused: refused(Policy::LeastLoaded)?,
            session_hash_refused: refused(Policy::SessionHash)?,
            consistent_hash_refused: refused(Policy::ConsistentHash)?,
            ours_unfinished: ours.unfinished,
            ours_completed: ours.completed,
            ours_engine_load: ours.engine_load,
            oracle_engine_load: least(&oracles, |report| report.engine_load)?,
            ours_trace_hash: format!("{:016x}", ours.trace_hash),
        })
    }

    /// Our hit rate against that of the best oracle.
    pub fn hit_ratio(&self) -> f64 {
        self.ours_hit_rate / self.oracle_hit_rate
    }

    /// Our tail of first-token times against that of the best oracle.
    pub fn tail_ratio(&self) -> f64 {
        self.ours_ttft_p99_ms / self.oracle_ttft_p99_ms
    }

    /// Our wasted tokens against those of the best oracle.
    pub fn waste_ratio(&self) -> f64 {
        self.ours_wasted_tokens as f64 / self.oracle_wasted_tokens as f64
    }
}

fn select(comparison: &Comparison, wanted: fn(Policy) -> bool) -> Vec<&PolicyReport> {
    let reports = comparison.reports.iter();
    reports.filter(|report| wanted(report.policy)).collect()
}

fn least(reports: &[&PolicyReport], measure: fn(&PolicyReport) -> f64) -> Option<f64> {
    reports
        .iter()
        .map(|report| measure(report))
        .reduce(f64::min)
}

fn most(reports: &[&PolicyReport], measure: fn(&PolicyReport) -> f64) -> Option<f64> {
    reports
        .iter()
        .map(|report| measure(report))
        .reduce(f64::max)
}

fn least_tokens(reports: &[&PolicyReport]) -> Option<u64> {
    reports.iter().map(|report| report.wasted_tokens).min()
}
