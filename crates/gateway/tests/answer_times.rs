//! How long an answer is waited for.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_gateway::upstream::AnswerTimes;
use yare::parameterized;

const LIMIT: Duration = Duration::from_secs(5);

fn learned(millis: &[u64]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for millis in millis {
        times.note(Duration::from_millis(*millis));
    }
    times
}

#[parameterized(
    nothing_measured_short_limit = { &[], 700, 350 },
    nothing_measured_long_limit = { &[], 5_000, 1_000 },
    quick = { &[2; 20], 1_000, 250 },
    quick_and_a_short_limit = { &[2; 20], 100, 100 },
    // Mean 100 ms, deviation 50 ms.
    one_measured = { &[100], 5_000, 300 },
    // Mean 150 ms, deviation 137.5 ms.
    one_outlier = { &[100, 500], 5_000, 700 },
    slower_than_the_limit = { &[3_000; 3], 1_000, 1_000 },
)]
fn patience_follows_what_was_measured(millis: &[u64], limit: u64, expected: u64) {
    let patience = learned(millis).patience(Duration::from_millis(limit));
    assert_eq!(patience.as_millis(), u128::from(expected));
}

#[test]
fn unanswered_calls_double_the_patience_until_an_answer() {
    let mut times = learned(&[2; 20]);
    let at = Timestamp::from_millis;
    times.back_off(at(1_000), at(1_250));
    assert_eq!(times.patience(LIMIT).as_millis(), 500);
    // It was under way together with the first.
    times.back_off(at(1_100), at(1_350));
    assert_eq!(times.patience(LIMIT).as_millis(), 500);
    times.back_off(at(1_300), at(1_800));
    assert_eq!(times.patience(LIMIT).as_millis(), 1_000);
    times.note(Duration::from_millis(2));
    assert_eq!(times.patience(LIMIT).as_millis(), 250);
}

#[test]
fn patience_of_a_server_that_became_slow_covers_its_answers() {
    let mut times = learned(&[2; 20]);
    times.note(Duration::from_millis(100 * 20));
    assert!(times.patience(LIMIT) > Duration::from_millis(100 * 20));
}
