//! Result of one policy.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Policy;
use super::simulated_cluster::SimulatedCluster;
use crate::engine_model::EngineProfile;

/// Result of one policy over one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// The policy.
    pub policy: Policy,
    /// Requests measured, plain ones included.
    pub requests: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Requests refused or broken off for good.
    pub refused: u64,
    /// Requests that had not ended a minute after the last arrival.
    pub unfinished: u64,
    /// Refusals by reason, as text.
    pub refusal_reasons: String,
    /// Share of the prompt tokens of completed attempts that came from a cache.
    pub hit_rate: f64,
    /// Median first-token time of interactive requests.
    pub ttft_p50_ms: f64,
    /// First-token time that 99 of 100 interactive requests do not exceed.
    pub ttft_p99_ms: f64,
    /// First-token time that 99 of 100 batch requests do not exceed.
    pub batch_ttft_p99_ms: f64,
    /// Prompt tokens computed that some engine had computed before.
    pub wasted_tokens: u64,
    /// Part of `wasted_tokens` that a live engine had cached.
    pub wasted_cached_elsewhere: u64,
    /// Part of `wasted_tokens` that the last engine which had them evicted.
    pub wasted_evicted: u64,
    /// Part of `wasted_tokens` that were lost in a crash.
    pub wasted_crashed: u64,
    /// Prompt tokens computed for the first time.
    pub first_computed_tokens: u64,
    /// Tokens that a busier engine than the chosen one had cached, which would have answered later.
    pub missed_busy_holder_tokens: u64,
    /// Tokens that an engine had cached which would have answered sooner than the chosen one.
    pub missed_free_holder_tokens: u64,
    /// Attempts for each request.
    pub attempts_per_request: f64,
    /// Prompt tokens computed, against those that engines could have computed beside the answers
    /// they gave.
    pub engine_load: f64,
    /// Hash of everything that happened; equal runs have equal hashes.
    pub trace_hash: u64,
}

/// The percentile by which tails are told.
const TAIL: f64 = 99.0;
const MICROS_PER_MILLI: f64 = 1_000.0;

impl PolicyReport {
    /// The result of a run that ended.
    pub(super) fn new(policy: Policy, cluster: &SimulatedCluster) -> Self {
        let measured = &cluster.measurements;
        let tokens = measured.waste.tokens();
        let engine_seconds =
            cluster.measured_duration().as_secs_f64() * cluster.engine_count() as f64;
        let computed = measured.computed_on_time as f64 / engine_seconds;
        let answered = measured.answered_on_time as f64 / engine_seconds;
        let percentile = |histogram: &Histogram<u64>, percent| {
            histogram.value_at_percentile(percent) as f64 / MICROS_PER_MILLI
        };
        Self {
            policy,
            requests: measured.requests,
            completed: measured.completed,
            refused: measured.refused.values().sum(),
            unfinished: measured.unfinished,
            refusal_reasons: reasons(&measured.refused),
            hit_rate: ratio(measured.cached_tokens, measured.prompt_tokens),
            ttft_p50_ms: percentile(&measured.interactive, MEDIAN),
            ttft_p99_ms: percentile(&measured.interactive, TAIL),
            batch_ttft_p99_ms: percentile(&measured.batch, TAIL),
            wasted_tokens: tokens.wasted(),
            wasted_cached_elsewhere: tokens.cached_elsewhere,
            wasted_evicted: tokens.evicted,
            wasted_crashed: tokens.crashed,
            first_computed_tokens: tokens.first,
            missed_busy_holder_tokens: measured.missed.busy_holder,
            missed_free_holder_tokens: measured.missed.free_holder,
            attempts_per_request: ratio(measured.attempts, measured.requests),
            engine_load: computed / prefill_capacity(cluster.engine_profile(), answered),
            trace_hash: cluster.trace_hash(),
        }
    }
}

const MEDIAN: f64 = 50.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Prompt tokens an engine can compute a second beside `answered` tokens of answers a second. With
/// full steps of length `s`, `answered × s` sequences decode in each, which gives `s` itself.
fn prefill_capacity(profile: &EngineProfile, answered: f64) -> f64 {
    let chunk = f64::from(profile.prefill_chunk_tokens);
    let without_answers = profile.step_duration(0, profile.prefill_chunk_tokens);
    let per_answer_token = profile.step_per_sequence_micros as f64 / MICROS_PER_SECOND;
    let free_share = 1.0 - per_answer_token * answered;
    chunk * free_share / without_answers.as_secs_f64()
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

fn reasons(refused: &BTreeMap<String, u64>) -> String {
    let texts: Vec<String> = refused
        .iter()
        .map(|(reason, count)| format!("{reason}={count}"))
        .collect();
    texts.join(" ")
}
