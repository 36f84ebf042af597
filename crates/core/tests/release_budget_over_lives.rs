//! Requests to a version under trial, summed over all nodes and over lives of nodes that were all killed at once.

use std::time::Duration;

use ryerouter_core::release::{Budget, Settings};
use yare::parameterized;

const SETTINGS: Settings = Settings {
    exposure_share: 0.1,
    exposure_slack: 5.0,
    rollback_within: Duration::from_secs(5),
};
/// Requests that a node gets in one life.
const REQUESTS: usize = 40;

/// The most by which the target's requests exceed the bound, at any moment. Each node sends as many as it may, and takes
/// so many nodes for all.
fn highest_excess(nodes: usize, known: usize, lives: usize) -> f64 {
    let (mut all, mut target) = (0, 0);
    let mut highest = f64::NEG_INFINITY;
    for _ in 0..lives {
        let mut budgets = vec![Budget::default(); nodes];
        for _ in 0..REQUESTS {
            for budget in &mut budgets {
                budget.count();
                all += 1;
                if budget.allows_request(&SETTINGS, known) {
                    budget.count_target();
                    target += 1;
                }
                let bound = f64::from(all) * SETTINGS.exposure_share + SETTINGS.exposure_slack;
                highest = highest.max(f64::from(target) - bound);
            }
        }
    }
    highest
}

#[parameterized(
    one_node = { 1, 1, 4 },
    few = { 4, 4, 7 },
    many = { 89, 89, 7 },
    large = { 985, 985, 7 },
    large_that_know_few_others = { 985, 65, 7 },
)]
fn trial_keeps_its_bound_over_starts_of_all_nodes(nodes: usize, known: usize, lives: usize) {
    let excess = highest_excess(nodes, known, lives);
    assert!(excess <= 0.0, "{excess} requests more than allowed");
}
