//! Retries that all nodes of a deployment together may send when all have just started; on a virtual clock.

mod support;

use std::time::Duration;

use support::gateway_bench::run_paused;
use support::starting_fleet::StartingFleet;
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// Retries without any requests that the settings of the tests permit in each window, for all nodes together.
const FLOOR: usize = 100;
/// Longer than nodes take to discover the others, and shorter than the window of the retry budget.
const SPAN: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(100);
const ENGINES: usize = 200;

/// Each node retries as often as it may from its start on. Returns how many retries these are, and how many of
/// them came within `early` after the start.
async fn spend_all(fleet: &StartingFleet, early: Duration) -> (usize, usize) {
    let pool = "pool".into();
    let begin = Instant::now();
    let (mut spent, mut spent_early) = (0, 0);
    while begin.elapsed() < SPAN {
        for node in &fleet.nodes {
            while node.spend_retry(&pool) {
                spent += 1;
                spent_early += usize::from(begin.elapsed() < early);
            }
        }
        sleep(STEP).await;
    }
    (spent, spent_early)
}

#[parameterized(
    few = { 7 },
    some = { 30 },
    many = { 200 },
    large = { 985 },
)]
fn nodes_that_have_just_started_together_retry_more_than_all_may(nodes: usize) {
    run_paused(async move {
        let mut fleet = StartingFleet::new(nodes, ENGINES);
        fleet.start();
        let (spent, early) = spend_all(&fleet, Duration::from_secs(3)).await;
        assert!(spent <= FLOOR, "{spent} retries, {early} within 3 s");
    });
}

/// Few nodes may retry as soon as they can tell that they are few.
#[test]
fn few_nodes_that_have_just_started_may_retry() {
    run_paused(async {
        let mut fleet = StartingFleet::new(7, ENGINES);
        fleet.start();
        let (spent, early) = spend_all(&fleet, Duration::from_secs(1)).await;
        assert!(early >= 7, "{early} retries within a second");
        assert!(spent >= FLOOR / 2, "{spent} retries");
    });
}
