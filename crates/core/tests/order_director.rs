//! The order director before engines that load weights, restart, lose answers and refuse old
//! numbers.

mod director_bench;

use std::time::Duration;

use director_bench::DirectorBench;
use ryerouter_core::identity::WeightsVersion;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
const OLD: WeightsVersion = WeightsVersion(1);
const NEW: WeightsVersion = WeightsVersion(2);

#[parameterized(
    blue_mahoe = { 18, 3 },
    callaghan = { 12, 2 },
    one_engine = { 1, 2 },
)]
fn rollout_keeps_capacity_and_ends(engines: usize, loads_at_once: usize) {
    let mut bench = DirectorBench::new(engines, loads_at_once as u32, OLD);
    bench.run(SECOND * 20);
    bench.set_weights(NEW);
    bench.run(SECOND * 120);
    assert_eq!(bench.serving(NEW), engines);
    assert!(bench.rollout_share().is_none());
    assert!(bench.most_loads() <= loads_at_once);
    assert!(bench.fewest_of_use() + loads_at_once >= engines);
}

#[test]
fn lost_answers_do_not_raise_the_loads_at_once() {
    let mut bench = DirectorBench::new(18, 3, OLD);
    bench.run(SECOND * 20);
    bench.lose_answers(2);
    bench.set_weights(NEW);
    bench.run(SECOND * 600);
    assert_eq!(bench.serving(NEW), 18);
    assert!(bench.most_loads() <= 3, "{}", bench.most_loads());
}

#[test]
fn restarted_engine_gets_weights_and_adapters_again() {
    let mut bench = DirectorBench::new(4, 2, OLD);
    bench.add_adapter("letters");
    bench.run(SECOND * 40);
    assert!(bench.has_adapter(2, "letters"));
    bench.restart_engine(2);
    assert!(!bench.has_adapter(2, "letters"));
    bench.run(SECOND * 40);
    assert_eq!(bench.serving(OLD), 4);
    assert!(bench.has_adapter(2, "letters"));
}

#[test]
fn engines_that_all_restart_load_a_few_at_a_time() {
    let mut bench = DirectorBench::new(18, 3, OLD);
    bench.run(SECOND * 20);
    for engine in 0..18 {
        bench.restart_engine(engine);
    }
    bench.run(SECOND * 60);
    assert_eq!(bench.serving(OLD), 18);
    assert_eq!(bench.most_loads(), 3);
}

#[test]
fn drained_back_end_is_told_and_told_back() {
    let mut bench = DirectorBench::new(3, 2, OLD);
    bench.run(SECOND * 20);
    bench.drain(1, true);
    bench.run(SECOND * 310);
    assert!(bench.is_draining(1));
    bench.drain(1, false);
    bench.run(SECOND * 310);
    assert!(!bench.is_draining(1));
}

#[test]
fn nothing_is_ordered_without_a_lease() {
    let mut bench = DirectorBench::new(6, 2, OLD);
    bench.run(SECOND * 20);
    bench.lose_lease();
    bench.set_weights(NEW);
    bench.run(SECOND * 60);
    assert_eq!(bench.serving(OLD), 6);
}

#[test]
fn director_that_was_paused_past_its_lease_orders_nothing() {
    let mut bench = DirectorBench::new(6, 2, OLD);
    bench.run(SECOND * 20);
    bench.set_weights(NEW);
    bench.stop_renewing();
    bench.skip(SECOND * 30);
    let before = bench.orders();
    bench.run(SECOND * 5);
    assert_eq!(bench.orders(), before);
}

#[test]
fn order_of_an_older_holder_is_refused_and_ends_its_lease() {
    let mut bench = DirectorBench::new(6, 2, OLD);
    bench.run(SECOND * 20);
    bench.engines_saw_newer_number();
    bench.set_weights(NEW);
    bench.run(SECOND * 30);
    assert_eq!(bench.serving(OLD), 6);
    assert!(bench.was_superseded());
}

#[test]
fn new_holder_takes_a_rollout_up_without_more_loads_at_once() {
    let mut bench = DirectorBench::new(18, 3, OLD);
    bench.run(SECOND * 20);
    bench.load_time(SECOND * 5);
    bench.set_weights(NEW);
    bench.run(Duration::from_millis(1_500));
    bench.change_holder();
    bench.run(SECOND * 200);
    assert_eq!(bench.serving(NEW), 18);
    assert!(bench.most_loads() <= 3, "{}", bench.most_loads());
}

#[test]
fn operator_who_turns_back_gets_the_old_weights_everywhere() {
    let mut bench = DirectorBench::new(12, 2, OLD);
    bench.run(SECOND * 20);
    bench.set_weights(NEW);
    bench.run(SECOND * 8);
    bench.set_weights(OLD);
    bench.run(SECOND * 200);
    assert_eq!(bench.serving(OLD), 12);
    assert!(bench.rollout_share().is_none());
    assert!(bench.most_loads() <= 2);
}

/// The other engines load and take all requests; those that were out of reach follow.
#[parameterized(
    fewer_than_load_at_once = { 2, false },
    as_many = { 3, false },
    more = { 6, false },
    one_and_a_new_holder = { 1, true },
    more_and_a_new_holder = { 6, true },
)]
fn rollout_does_not_wait_for_engines_out_of_reach(cut: usize, is_new_holder: bool) {
    let mut bench = DirectorBench::new(18, 3, OLD);
    bench.run(SECOND * 20);
    bench.cut(cut);
    if is_new_holder {
        bench.change_holder();
    }
    bench.set_weights(NEW);
    bench.run(SECOND * 300);
    assert_eq!(bench.serving(NEW), 18 - cut);
    assert!(
        bench.rollout_share().is_none(),
        "{:?}",
        bench.rollout_share()
    );
    bench.cut(0);
    bench.run(SECOND * 60);
    assert_eq!(bench.serving(NEW), 18);
    assert!(bench.most_loads() <= 3, "{}", bench.most_loads());
}

#[parameterized(
    engines_that_loaded_first = { 6 },
    all_engines = { 18 },
)]
fn share_of_a_rollout_is_not_taken_back_when_engines_are_out_of_reach(cut: usize) {
    let mut bench = DirectorBench::new(18, 3, OLD);
    bench.run(SECOND * 20);
    bench.set_weights(NEW);
    while bench.serving(NEW) < 6 {
        bench.run(SECOND);
    }
    let before = bench.rollout_share().expect("rollout");
    assert!(before > 0);
    bench.cut(cut);
    bench.run(SECOND * 100);
    let after = bench.rollout_share().unwrap_or(1_000);
    assert!(after >= before, "{before} to {after}");
}
