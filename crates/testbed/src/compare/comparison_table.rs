//! A comparison as a table.

use super::{Comparison, PolicyReport};

const TOKENS_PER_THOUSAND: f64 = 1_000.0;
const PERCENT: f64 = 100.0;

/// Prints one line for each policy.
pub fn print_table(comparison: &Comparison) {
    println!("{} seed {}", comparison.scenario, comparison.seed);
    println!(
        "{:<16} {:>6} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9} {:>5} {:>6}  completed, refused, unfinished",
        "policy",
        "hit %",
        "p50 ms",
        "p99 ms",
        "batch p99",
        "wasted k",
        "elsewhere",
        "evicted",
        "crashed",
        "miss busy",
        "miss free",
        "att.",
        "load %",
    );
    for report in &comparison.reports {
        print_line(report);
    }
}

fn print_line(report: &PolicyReport) {
    let thousand = |tokens: u64| tokens as f64 / TOKENS_PER_THOUSAND;
    println!(
        "{:<16} {:>6.2} {:>8.1} {:>8.1} {:>9.1} {:>9.0} {:>9.0} {:>9.0} {:>8.0} {:>9.0} {:>9.0} {:>5.2} {:>6.1}  {}, {}, {} {}",
        report.policy.to_string(),
        report.hit_rate * PERCENT,
        report.ttft_p50_ms,
        report.ttft_p99_ms,
        report.batch_ttft_p99_ms,
        thousand(report.wasted_tokens),
        thousand(report.wasted_cached_elsewhere),
        thousand(report.wasted_evicted),
        thousand(report.wasted_crashed),
        thousand(report.missed_busy_holder_tokens),
        thousand(report.missed_free_holder_tokens),
        report.attempts_per_request,
        report.engine_load * PERCENT,
        report.completed,
        report.refused,
        report.unfinished,
        report.refusal_reasons,
    );
}
