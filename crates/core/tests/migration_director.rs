//! Stages that move step by step, hold, are taken back, and outlive their director.

mod migration_bench;

use std::time::Duration;

use migration_bench::{Behaviour, MigrationBench, stage};
use ryerouter_core::catalog::StageState;
use ryerouter_core::migration::LatencyHistogram;
use yare::parameterized;

#[test]
fn good_target_takes_all_traffic_step_by_step() {
    let mut bench = MigrationBench::new();
    bench.run(400);
    assert_eq!(bench.shares(), [250, 500, 750, 1_000]);
    assert!(bench.is_finished());
    let changes = bench.changes();
    bench.run(400);
    assert_eq!(bench.changes(), changes);
}

#[test]
fn each_step_is_held() {
    let mut bench = MigrationBench::new();
    bench.run(55);
    assert_eq!(bench.share(), 250);
    bench.run(10);
    assert_eq!(bench.share(), 500);
}

#[parameterized(
    slow = { Behaviour { first_token: Duration::from_millis(1_500), ..Behaviour::USUAL }, "p99" },
    failing = { Behaviour { error_permille: 50, ..Behaviour::USUAL }, "errors" },
    cold = { Behaviour { hit_permille: 200, ..Behaviour::USUAL }, "hit rate" },
)]
fn broken_bound_takes_the_stage_back(target: Behaviour, reason: &str) {
    let mut bench = MigrationBench::new();
    bench.run(70);
    bench.target = target;
    bench.run(60);
    assert_eq!(bench.state(), StageState::RolledBack);
    assert_eq!(bench.share(), 0);
    assert!(
        bench.last_author().contains(reason),
        "{}",
        bench.last_author()
    );
}

#[parameterized(
    slower = { Behaviour { first_token: Duration::from_millis(400), ..Behaviour::USUAL } },
    colder = { Behaviour { hit_permille: 400, ..Behaviour::USUAL } },
    fails_more = { Behaviour { error_permille: 10, ..Behaviour::USUAL } },
)]
fn worse_target_is_held_and_goes_on_when_it_gets_better(target: Behaviour) {
    let mut bench = MigrationBench::new();
    bench.target = target;
    bench.run(180);
    assert_eq!(bench.share(), 250);
    assert_eq!(bench.state(), StageState::Running);
    bench.target = Behaviour::USUAL;
    bench.run(130);
    assert!(bench.share() > 250);
}

#[test]
fn target_that_stays_worse_is_left_to_the_operator() {
    let mut bench = MigrationBench::new();
    bench.target.first_token = Duration::from_millis(400);
    bench.run(600);
    assert_eq!(bench.state(), StageState::Paused);
    assert_eq!(bench.share(), 250);
}

#[test]
fn step_without_traffic_waits() {
    let mut bench = MigrationBench::new();
    bench.traffic = false;
    bench.run(600);
    assert_eq!(bench.share(), 250);
    assert_eq!(bench.state(), StageState::Running);
}

#[parameterized(
    paused = { StageState::Paused, 250 },
    rolled_back = { StageState::RolledBack, 0 },
)]
fn operator_stops_a_stage(state: StageState, share: u16) {
    let mut bench = MigrationBench::new();
    bench.run(20);
    bench.set_state(state);
    bench.run(300);
    assert_eq!((bench.state(), bench.share()), (state, share));
}

#[test]
fn stage_taken_back_starts_from_nothing_when_resumed() {
    let mut bench = MigrationBench::new();
    bench.run(130);
    bench.set_state(StageState::RolledBack);
    bench.run(10);
    bench.set_state(StageState::Running);
    bench.run(10);
    assert_eq!(bench.share(), 250);
}

#[test]
fn stage_taken_back_in_whole_starts_from_nothing_when_resumed_in_steps() {
    let mut bench = MigrationBench::new();
    let mut at_once = stage();
    at_once.step_permille = 0;
    bench.operator_puts(at_once);
    assert_eq!(bench.share(), 1_000);
    bench.set_state(StageState::RolledBack);
    assert_eq!(bench.share(), 0);
    bench.operator_puts(stage());
    assert_eq!(bench.share(), 0);
    bench.run(10);
    assert_eq!(bench.share(), 250);
}

#[test]
fn stage_that_moves_other_traffic_starts_from_nothing() {
    let mut bench = MigrationBench::new();
    bench.run(130);
    let mut other = stage();
    other.target = "half-way-tree".into();
    bench.operator_puts(other);
    assert_eq!(bench.share(), 0);
}

#[test]
fn new_holder_goes_on_where_the_one_before_stopped() {
    let mut bench = MigrationBench::new();
    bench.run(70);
    bench.cut_from_store(0);
    bench.new_holder();
    bench.run(400);
    assert_eq!(bench.shares(), [250, 500, 750, 1_000]);
}

#[test]
fn two_holders_at_once_make_no_step_twice() {
    let mut bench = MigrationBench::new();
    bench.new_holder();
    bench.run(400);
    assert_eq!(bench.shares(), [250, 500, 750, 1_000]);
}

#[test]
fn write_that_comes_late_from_a_paused_holder_has_no_effect() {
    let mut bench = MigrationBench::new();
    bench.run(30);
    bench.cut_from_store(0);
    bench.run(60);
    bench.new_holder();
    bench.run(10);
    bench.set_state(StageState::RolledBack);
    bench.deliver_held_back(0);
    assert_eq!((bench.state(), bench.share()), (StageState::RolledBack, 0));
}

#[test]
fn nothing_moves_while_the_store_is_down_and_all_goes_on_after() {
    let mut bench = MigrationBench::new();
    bench.run(70);
    bench.store_up = false;
    bench.run(600);
    assert_eq!(bench.share(), 500);
    bench.store_up = true;
    bench.run(200);
    assert_eq!(bench.share(), 1_000);
}

#[parameterized(
    one = { &[40], 990, 40 },
    tail = { &[10, 10, 10, 10, 10, 10, 10, 10, 10, 3_000], 990, 3_000 },
    median = { &[10, 20, 30], 500, 20 },
    zero = { &[0], 500, 0 },
    an_hour = { &[3_600_000], 500, 3_600_000 },
)]
fn quantile_is_at_most_an_eighth_too_high(millis: &[u64], permille: u64, exact: u64) {
    let mut histogram = LatencyHistogram::default();
    for time in millis {
        histogram.record(Duration::from_millis(*time));
    }
    let quantile = histogram.quantile(permille).expect("counted").as_millis() as u64;
    assert!(quantile >= exact, "{quantile}");
    assert!(quantile <= exact + exact / 8 + 1, "{quantile}");
}
