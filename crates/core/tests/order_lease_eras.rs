//! A lease in a store that comes back from copies.

mod lease_bench;

use std::time::Duration;

use lease_bench::{LeaseBench, StoreMode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::control::StoreVersion;
use ryerouter_core::identity::FencingNumber;
use ryerouter_core::order::LeaseSettings;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

#[parameterized(
    plain = { 0, 87, 87 },
    era = { 3, 87, (3 << 40) + 87 },
)]
fn version_of_a_later_era_is_higher_and_tells_its_revision(era: u64, revision: u64, packed: u64) {
    let version = StoreVersion::in_era(era, revision);
    assert_eq!(version, StoreVersion(packed));
    assert_eq!((version.era(), version.revision()), (era, revision));
    assert!(StoreVersion::in_era(era + 1, 1) > version);
}

/// The copy names a holder before the last one, who must not take the lease while the last one holds it by a write that is
/// lost.
#[test]
fn earlier_holder_whom_a_copy_names_waits_for_the_last_one() {
    for lost in 1..20 {
        let mut bench = LeaseBench::new(2);
        bench.begin_eras();
        bench.run(SECOND * 5);
        let first = bench.holder().expect("held");
        bench.pause(first);
        bench.run(SECOND * 40);
        let second = bench.holder().expect("held");
        assert_ne!(first, second);
        bench.resume(first);
        bench.run(SECOND);
        let highest = bench.highest();
        bench.return_without_last_writes(lost);
        bench.run(SECOND * 60);
        assert_eq!(bench.overlaps(), 0, "{lost} writes lost");
        assert_eq!(bench.shared_numbers(), 0);
        assert_eq!(bench.holders(), 1);
        assert!(bench.highest() > highest);
    }
}

/// All processes were killed while the store was away, and the copy names a holder before the last one.
#[test]
fn process_that_has_just_started_gives_orders_within_a_lease_of_the_last_holder() {
    for lost in 1..20 {
        let mut bench = LeaseBench::new(2);
        bench.begin_eras();
        bench.run(SECOND * 5);
        let first = bench.holder().expect("held");
        bench.pause(first);
        bench.run(SECOND * 40);
        let second = bench.holder().expect("held");
        assert_ne!(first, second);
        bench.return_without_last_writes(lost);
        bench.restart_all();
        let free = bench.until_held(SECOND * 60).expect("held in the end");
        let is_same = bench.holder() == Some(second);
        let lease = LeaseSettings::default().duration;
        assert!(is_same || free >= lease, "{free:?} with {lost} writes lost");
        assert_eq!(bench.shared_numbers(), 0);
    }
}

/// A holder that starts again in the same era takes its lease back at once.
#[test]
fn process_that_starts_again_in_the_same_era_waits_for_nobody() {
    let mut bench = LeaseBench::new(1);
    bench.begin_eras();
    bench.run(SECOND * 5);
    bench.return_without_last_writes(1);
    bench.run(SECOND * 30);
    assert_eq!(bench.holder(), Some(0));
    bench.restart_all();
    let free = bench.until_held(SECOND * 60).expect("held in the end");
    assert!(free <= SECOND * 3, "{free:?}");
}

/// Without the object, or with an older one, numbers would be given out again.
#[test]
fn fencing_number_is_given_out_once_over_all_eras() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = LeaseBench::new(4);
        bench.begin_eras();
        let mut highest = FencingNumber::default();
        for _ in 0..8 {
            bench.run(Duration::from_millis(random.random_range(1_000..20_000)));
            match random.random_range(0..4) {
                0 => bench.store_mode(StoreMode::Down),
                1 => bench.store_mode(StoreMode::AnswersLost { every: 2 }),
                _ => bench.store_mode(StoreMode::Up),
            }
            bench.run(Duration::from_millis(random.random_range(0..5_000)));
            bench.return_without_last_writes(random.random_range(1..30));
            bench.store_mode(StoreMode::Up);
            bench.run(SECOND * 20);
            assert_eq!(bench.holders(), 1, "seed {seed}");
            assert!(bench.highest() >= highest);
            highest = bench.highest();
        }
        assert_eq!(bench.shared_numbers(), 0, "seed {seed}");
        assert_eq!(bench.overlaps(), 0, "seed {seed}");
    }
}

/// Processes are paused, end and start again between the returns. One that starts can't know that the era is new, so it may
/// take a lease that the copy says it held; its number is another one all the same.
#[test]
fn no_number_is_shared_while_processes_come_and_go() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = LeaseBench::new(4);
        bench.begin_eras();
        for round in 0..6 {
            bench.trouble(seed * 10 + round, SECOND * 30);
            bench.return_without_last_writes(random.random_range(1..20));
        }
        assert_eq!(bench.shared_numbers(), 0, "seed {seed}");
    }
}
