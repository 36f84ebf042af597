//! Tables over several seeds.

use super::{AblationLine, ComparisonSummary, Spread};

const PERCENT: f64 = 100.0;
const TOKENS_PER_THOUSAND: f64 = 1_000.0;

/// Prints what each mechanism is worth: medians over the seeds.
pub fn print_ablation(scenario: &str, seeds: usize, lines: &[AblationLine]) {
    println!("{scenario}: ours with one mechanism off, medians over {seeds} seeds");
    println!(
        "{:<20} {:>7} {:>9} {:>10} {:>10} {:>11}",
        "variant", "hit %", "p99 ms", "batch p99", "wasted k", "not served",
    );
    for line in lines {
        println!(
            "{:<20} {:>7.2} {:>9.1} {:>10.1} {:>10.0} {:>11.0}",
            line.name,
            line.hit_rate.median * PERCENT,
            line.ttft_p99_ms.median,
            line.batch_ttft_p99_ms.median,
            line.wasted_tokens.median / TOKENS_PER_THOUSAND,
            line.not_served.median,
        );
    }
}

/// Prints ours against the best oracle of each measure over the seeds.
pub fn print_ratios(summaries: &[ComparisonSummary]) {
    let spread = |measure: fn(&ComparisonSummary) -> f64| Spread::of(summaries.iter().map(measure));
    let hit = spread(ComparisonSummary::hit_ratio);
    let tail = spread(ComparisonSummary::tail_ratio);
    let waste = spread(ComparisonSummary::waste_ratio);
    println!(
        "ours against the best oracle of each measure over {} seeds",
        summaries.len()
    );
    println!("{:<16} {:>8} {:>8}", "measure", "median", "worst");
    println!("{:<16} {:>8.3} {:>8.3}", "hit rate", hit.median, hit.least);
    println!("{:<16} {:>8.3} {:>8.3}", "ttft p99", tail.median, tail.most);
    println!(
        "{:<16} {:>8.3} {:>8.3}",
        "wasted tokens", waste.median, waste.most
    );
}
