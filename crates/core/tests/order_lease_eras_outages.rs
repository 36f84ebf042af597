//! A lease whose holder lets it run out while the store is away, before the store comes back from a copy.

mod lease_bench;

use std::time::Duration;

use lease_bench::{LeaseBench, StoreMode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::order::LeaseSettings;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
/// Time from the store's return until the holder has the lease again: a look and a write.
const SOON: Duration = Duration::from_secs(1);

fn away(mode: StoreMode, span: Duration, lost: usize) -> (LeaseBench, Option<usize>) {
    let mut bench = LeaseBench::new(4);
    bench.begin_eras();
    bench.run(SECOND * 20);
    let holder = bench.holder();
    assert!(holder.is_some());
    bench.store_mode(mode);
    bench.run(span);
    bench.return_without_last_writes(lost);
    bench.store_mode(StoreMode::Up);
    (bench, holder)
}

/// The last renewal was 2.9 s before the store went. Nobody else can have taken the lease by its return, in the former era
/// either.
#[parameterized(
    still_held = { 6_500, 3 },
    just_run_out = { 7_200, 1 },
    run_out = { 8_500, 6 },
    run_out_and_the_copy_has_no_lease = { 8_500, 1_000 },
)]
fn last_holder_takes_the_lease_at_once_when_the_store_returns(span_ms: u64, lost: usize) {
    let span = Duration::from_millis(span_ms);
    let (mut bench, holder) = away(StoreMode::Down, span, lost);
    bench.run(SOON);
    assert_eq!(bench.holder(), holder);
    bench.run(SECOND * 60);
    assert_eq!((bench.overlaps(), bench.shared_numbers()), (0, 0));
}

/// Somebody else may have taken it since, by a write that the copy lacks.
#[test]
fn holder_of_long_ago_waits() {
    let settings = LeaseSettings::default();
    let span = settings.duration + settings.takeover_margin + SECOND;
    let (mut bench, _) = away(StoreMode::Down, span, 3);
    let free = bench.until_held(SECOND * 60).expect("held in the end");
    assert!(free >= settings.duration, "{free:?}");
}

/// Pauses, outages and returns one upon another.
#[test]
fn lease_is_held_by_one_process_while_holders_let_it_run_out() {
    let lease = LeaseSettings::default().duration;
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = LeaseBench::new(4);
        bench.begin_eras();
        bench.run(SECOND * 20);
        for _ in 0..8 {
            let holder = bench.holder();
            let paused = holder.filter(|_| random.random_bool(0.5));
            if let Some(paused) = paused {
                bench.pause(paused);
                bench.run(lease.mul_f64(random.random_range(0.1..2.0)));
            }
            match random.random_range(0..3) {
                0 => bench.store_mode(StoreMode::Down),
                1 => bench.store_mode(StoreMode::AnswersLost { every: 2 }),
                _ => {}
            }
            bench.run(lease.mul_f64(random.random_range(0.0..1.5)));
            bench.return_without_last_writes(random.random_range(1..30));
            bench.store_mode(StoreMode::Up);
            if let Some(paused) = paused {
                bench.run(lease.mul_f64(random.random_range(0.0..0.5)));
                bench.resume(paused);
            }
            bench.run(lease.mul_f64(random.random_range(0.0..2.0)));
        }
        bench.run(SECOND * 60);
        assert_eq!(bench.overlaps(), 0, "seed {seed}");
        assert_eq!(bench.shared_numbers(), 0, "seed {seed}");
        assert_eq!(bench.holders(), 1, "seed {seed}");
    }
}
