//! What each mechanism of the dispatcher is worth.

use std::sync::Arc;

use ryerouter_core::dispatch::{DispatchMechanisms, DispatchParameters};

use super::spread::Spread;
use super::{ComparisonOptions, Policy, PolicyReport, compare};
use crate::scenario::Scenario;

/// The dispatcher with one mechanism off.
#[derive(Debug, Clone, Copy)]
struct Variant {
    name: &'static str,
    switch: fn(&mut DispatchMechanisms),
}

/// The dispatcher as it is, then with each mechanism off in turn.
const VARIANTS: [Variant; 8] = [
    Variant {
        name: "all on",
        switch: |_| {},
    },
    Variant {
        name: "no cache knowledge",
        switch: |mechanisms| mechanisms.cache_directory = false,
    },
    Variant {
        name: "no prefix widths",
        switch: |mechanisms| mechanisms.prefix_widths = false,
    },
    Variant {
        name: "no cache prior",
        switch: |mechanisms| mechanisms.cache_prior = false,
    },
    Variant {
        name: "no recompute price",
        switch: |mechanisms| mechanisms.recompute_penalty = false,
    },
    Variant {
        name: "no engine windows",
        switch: |mechanisms| mechanisms.engine_windows = false,
    },
    Variant {
        name: "no KV store",
        switch: |mechanisms| mechanisms.kv_store = false,
    },
    Variant {
        name: "no ejection",
        switch: |mechanisms| mechanisms.ejection = false,
    },
];

/// The dispatcher with one mechanism off, over several seeds.
#[derive(Debug, Clone)]
pub struct AblationLine {
    /// What is off.
    pub name: &'static str,
    /// Hit rate.
    pub hit_rate: Spread,
    /// First-token time that 99 of 100 interactive requests do not exceed.
    pub ttft_p99_ms: Spread,
    /// The same of batch requests.
    pub batch_ttft_p99_ms: Spread,
    /// Wasted tokens.
    pub wasted_tokens: Spread,
    /// Requests refused or unfinished.
    pub not_served: Spread,
}

impl AblationLine {
    fn new(name: &'static str, reports: &[PolicyReport]) -> Self {
        let spread = |measure: fn(&PolicyReport) -> f64| Spread::of(reports.iter().map(measure));
        Self {
            name,
            hit_rate: spread(|report| report.hit_rate),
            ttft_p99_ms: spread(|report| report.ttft_p99_ms),
            batch_ttft_p99_ms: spread(|report| report.batch_ttft_p99_ms),
            wasted_tokens: spread(|report| report.wasted_tokens as f64),
            not_served: spread(|report| (report.refused + report.unfinished) as f64),
        }
    }
}

/// Runs the dispatcher as it is and with each mechanism off in turn, over these seeds.
pub fn vary(scenario: &Arc<Scenario>, seeds: &[u64]) -> Vec<AblationLine> {
    let line = |variant: &Variant| {
        let mut parameters = DispatchParameters::default();
        (variant.switch)(&mut parameters.mechanisms);
        AblationLine::new(variant.name, &run_seeds(scenario, seeds, &parameters))
    };
    VARIANTS.iter().map(line).collect()
}

fn run_seeds(
    scenario: &Arc<Scenario>,
    seeds: &[u64],
    parameters: &DispatchParameters,
) -> Vec<PolicyReport> {
    let run = |seed: u64| {
        let options = ComparisonOptions {
            seed,
            parameters: parameters.clone(),
        };
        compare(scenario, &[Policy::Ours], &options).reports
    };
    std::thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .iter()
            .map(|seed| scope.spawn(move || run(*seed)))
            .collect();
        let reports = runs
            .into_iter()
            .flat_map(|run| run.join().expect("a run does not panic"));
        reports.collect()
    })
}
