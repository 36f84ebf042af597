//! What a demonstration found.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use ryerouter_core::dispatch::RunState;
use serde::Serialize;

use super::chaos::ChaosLog;
use super::promise_check::{check_promises, ran_twice};
use super::{CallEnd, CallRecord, CallWork};
use crate::cluster::StandInSet;

/// Significant digits of times.
const DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// What a demonstration found; its JSON form is one flat object.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of everything random.
    pub seed: u64,
    /// Router nodes.
    pub nodes: usize,
    /// Calls, second ones of a pair included.
    pub requests: usize,
    /// Submissions of those calls.
    pub submissions: usize,
    /// Whole and right answers.
    pub completed: usize,
    /// Whole answers that are not what the back end must have said.
    pub wrong: usize,
    /// Refusals that say that the request did not run.
    pub refused_not_run: usize,
    /// Refusals that do not know or say that it ran, and broken connections, without duplicates.
    pub unknown: usize,
    /// Calls refused because the other one of their pair, or an earlier submission, holds the key.
    pub refused_duplicates: usize,
    /// At-most-once keys that ran more than once.
    pub ran_twice: usize,
    /// Broken promises of all kinds.
    pub broken_promises: usize,
    /// Prompt tokens taken from a cache, as a share of all prompt tokens.
    pub prefix_hit_rate: f64,
    /// Median time to the first token of streamed answers, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to the first token of streamed answers, in milliseconds.
    pub ttft_p99_ms: f64,
    /// Prompt tokens of all answers.
    pub prompt_tokens: u64,
    /// Prompt tokens computed that some engine had computed before.
    pub wasted_prefill_tokens: u64,
    /// Milliseconds from the first call to the last answer.
    pub duration_ms: u64,
    /// Router nodes that were killed or stopped and came back.
    pub router_outages: usize,
    /// Engines that died.
    pub engine_crashes: usize,
    /// Longest time from the start of a router node to when it served, in milliseconds.
    pub slowest_router_start_ms: u64,
    /// Last refusals and broken calls by reason.
    #[serde(skip)]
    pub reasons: BTreeMap<String, usize>,
    /// Broken promises, each in a sentence.
    #[serde(skip)]
    pub promises: Vec<String>,
}

impl DemoReport {
    /// Counts how calls ended, and looks for broken promises.
    pub fn new(records: &[CallRecord], stand_ins: &StandInSet, chaos: &ChaosLog) -> Self {
        let promises = check_promises(records, stand_ins, chaos);
        let last = last_submissions(records);
        let totals = stand_ins.ledger.totals();
        let times = first_token_times(records);
        let mut report = Self {
            scenario: String::new(),
            seed: 0,
            nodes: 0,
            requests: last.len(),
            submissions: records.len(),
            completed: 0,
            wrong: 0,
            refused_not_run: 0,
            unknown: 0,
            refused_duplicates: 0,
            ran_twice: ran_twice(records, stand_ins).len(),
            broken_promises: promises.len(),
            prefix_hit_rate: ratio(totals.cached_tokens, totals.prompt_tokens),
            ttft_p50_ms: millis(&times, 0.50),
            ttft_p99_ms: millis(&times, 0.99),
            prompt_tokens: totals.prompt_tokens,
            wasted_prefill_tokens: totals.recomputed_tokens,
            duration_ms: 0,
            router_outages: chaos.outages.len(),
            engine_crashes: chaos.engine_crashes,
            slowest_router_start_ms: chaos.slowest_start().as_millis() as u64,
            reasons: BTreeMap::new(),
            promises,
        };
        for record in last {
            report.count(record);
        }
        report
    }

    /// Names the run.
    pub fn with_run(self, scenario: &str, seed: u64, nodes: usize, duration: Duration) -> Self {
        Self {
            scenario: scenario.to_owned(),
            seed,
            nodes,
            duration_ms: duration.as_millis() as u64,
            ..self
        }
    }

    /// The report as a table.
    pub fn table(&self) -> String {
        let mut lines = vec![
            format!(
                "{} over {} router nodes, seed {}, {:.1} s",
                self.scenario,
                self.nodes,
                self.seed,
                Duration::from_millis(self.duration_ms).as_secs_f64()
            ),
            row("requests", self.requests),
            row("submissions", self.submissions),
            row("whole and right answers", self.completed),
            row("wrong answers", self.wrong),
            row("refused, not run", self.refused_not_run),
            row(
                "refused, key held by another submission",
                self.refused_duplicates,
            ),
            row("unknown", self.unknown),
            row("at-most-once keys that ran twice", self.ran_twice),
            row("prefix hit rate", format!("{:.3}", self.prefix_hit_rate)),
            row(
                "time to first token, median",
                format!("{:.1} ms", self.ttft_p50_ms),
            ),
            row(
                "time to first token, 99th percentile",
                format!("{:.1} ms", self.ttft_p99_ms),
            ),
            row("prompt tokens", self.prompt_tokens),
            row("prompt tokens computed again", self.wasted_prefill_tokens),
            row("router nodes killed or stopped", self.router_outages),
            row(
                "slowest start of a router node",
                format!("{} ms", self.slowest_router_start_ms),
            ),
            row("engines that died", self.engine_crashes),
            row("broken promises", self.broken_promises),
        ];
        let reasons = self.reasons.iter();
        lines.extend(reasons.map(|(reason, count)| format!("    {count} × {reason}")));
        let promises = self.promises.iter();
        lines.extend(promises.map(|promise| format!("BROKEN: {promise}")));
        lines.join("\n")
    }

    fn count(&mut self, record: &CallRecord) {
        match &record.end {
            CallEnd::Right { .. } => self.completed += 1,
            CallEnd::Wrong { .. } => self.wrong += 1,
            CallEnd::Refused {
                run_state, reason, ..
            } => {
                let held = record.call.is_duplicate || record.submission > 1;
                self.count_refusal(*run_state, reason, held);
            }
            CallEnd::NotConnected => {
                self.refused_not_run += 1;
                self.note("no connection".to_owned());
            }
            CallEnd::Broken { reason } => {
                self.unknown += 1;
                self.note(reason.clone());
            }
        }
    }

    fn count_refusal(&mut self, run_state: RunState, reason: &str, key_is_held: bool) {
        self.note(format!("{reason}, {run_state}"));
        if key_is_held && reason == ALREADY_CLAIMED {
            self.refused_duplicates += 1;
        } else if run_state == RunState::NotRun {
            self.refused_not_run += 1;
        } else {
            self.unknown += 1;
        }
    }

    fn note(&mut self, reason: String) {
        *self.reasons.entry(reason).or_default() += 1;
    }
}

/// Reason of a refusal because the key was claimed before.
const ALREADY_CLAIMED: &str = "already_claimed";

/// The last submission of each call.
fn last_submissions(records: &[CallRecord]) -> Vec<&CallRecord> {
    let next = records.iter().skip(1).map(Some).chain([None]);
    let pairs = records.iter().zip(next);
    // Submissions of a call follow each other, and the first has the number 1.
    pairs
        .filter(|(_, next)| next.is_none_or(|next| next.submission == 1))
        .map(|(record, _)| record)
        .collect()
}

fn first_token_times(records: &[CallRecord]) -> Histogram<u64> {
    let mut times = Histogram::new(DIGITS).expect("the number of digits is valid");
    for record in records {
        let streamed = matches!(record.call.work, CallWork::Model { stream: true, .. });
        if let (true, Some(time)) = (streamed, record.first_token) {
            let recorded = times.record(time.as_micros() as u64);
            recorded.expect("the histogram grows as needed");
        }
    }
    times
}

fn millis(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

fn row(name: &str, value: impl std::fmt::Display) -> String {
    format!("  {name:<42}{value:>14}")
}
