//! A comparison as one flat JSON object.

use serde::Serialize;

use super::{Comparison, Policy, PolicyReport};

/// Ours, the oracle and the best baseline of each measure, flat.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ComparisonSummary {
    scenario: String,
    seed: u64,
    requests: u64,
    ours_hit_rate: f64,
    oracle_hit_rate: f64,
    best_baseline_hit_rate: f64,
    ours_ttft_p99_ms: f64,
    oracle_ttft_p99_ms: f64,
    best_baseline_ttft_p99_ms: f64,
    ours_batch_ttft_p99_ms: f64,
    oracle_batch_ttft_p99_ms: f64,
    ours_wasted_tokens: u64,
    oracle_wasted_tokens: u64,
    best_baseline_wasted_tokens: u64,
    ours_refused: u64,
    oracle_refused: u64,
    round_robin_refused: u64,
    least_loaded_refused: u64,
    session_hash_refused: u64,
    consistent_hash_refused: u64,
    ours_unfinished: u64,
    oracle_unfinished: u64,
    ours_completed: u64,
    oracle_completed: u64,
    ours_engine_load: f64,
    oracle_engine_load: f64,
    ours_trace_hash: String,
}

impl ComparisonSummary {
    /// Sums a comparison of all policies up; `None` when one is missing.
    pub fn new(comparison: &Comparison) -> Option<Self> {
        let ours = comparison.report(Policy::Ours)?;
        let oracle = comparison.report(Policy::Oracle)?;
        let refused = |policy| Some(comparison.report(policy)?.refused);
        let baselines: Vec<&PolicyReport> = comparison
            .reports
            .iter()
            .filter(|report| report.policy.is_baseline())
            .collect();
        let best = |measure: fn(&PolicyReport) -> f64| {
            baselines
                .iter()
                .map(|report| measure(report))
                .reduce(f64::min)
        };
        Some(Self {
            scenario: comparison.scenario.clone(),
            seed: comparison.seed,
            requests: ours.requests,
            ours_hit_rate: ours.hit_rate,
            oracle_hit_rate: oracle.hit_rate,
            best_baseline_hit_rate: -best(|report| -report.hit_rate)?,
            ours_ttft_p99_ms: ours.ttft_p99_ms,
            oracle_ttft_p99_ms: oracle.ttft_p99_ms,
            best_baseline_ttft_p99_ms: best(|report| report.ttft_p99_ms)?,
            ours_batch_ttft_p99_ms: ours.batch_ttft_p99_ms,
            oracle_batch_ttft_p99_ms: oracle.batch_ttft_p99_ms,
            ours_wasted_tokens: ours.wasted_tokens,
            oracle_wasted_tokens: oracle.wasted_tokens,
            best_baseline_wasted_tokens: baselines
                .iter()
                .map(|report| report.wasted_tokens)
                .min()?,
            ours_refused: ours.refused,
            oracle_refused: oracle.refused,
            round_robin_refused: refused(Policy::RoundRobin)?,
            least_loaded_refused: refused(Policy::LeastLoaded)?,
            session_hash_refused: refused(Policy::SessionHash)?,
            consistent_hash_refused: refused(Policy::ConsistentHash)?,
            ours_unfinished: ours.unfinished,
            oracle_unfinished: oracle.unfinished,
            ours_completed: ours.completed,
            oracle_completed: oracle.completed,
            ours_engine_load: ours.engine_load,
            oracle_engine_load: oracle.engine_load,
            ours_trace_hash: format!("{:016x}", ours.trace_hash),
        })
    }
}
