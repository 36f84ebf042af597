//! Parts of tenant limits, one rule each.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{NodeName, TenantName};
use ryerouter_core::limit::{TokenBucket, allocator_share};
use yare::parameterized;

const START: Timestamp = Timestamp::from_millis(1_000);
const SECOND: Duration = Duration::from_secs(1);

#[parameterized(
    one_bank = { 100, 1 },
    even = { 100, 5 },
    remainder = { 103, 5 },
    fewer_than_banks = { 3, 5 },
    nothing = { 0, 5 },
)]
fn shares_add_up_to_the_limit(limit: u64, count: usize) {
    let banks: Vec<NodeName> = (0..count)
        .map(|bank| NodeName::new(format!("bank-{bank}")))
        .collect();
    for tenant in ["a", "b", "c"].map(TenantName::new) {
        let shares = banks
            .iter()
            .map(|bank| allocator_share(limit, &banks, bank, &tenant));
        assert_eq!(shares.sum::<u64>(), limit);
    }
}

#[test]
fn process_that_is_no_bank_has_no_share() {
    let banks = [NodeName::new("bank-0")];
    let other = NodeName::new("bank-1");
    assert_eq!(
        allocator_share(10, &banks, &other, &TenantName::new("a")),
        0
    );
}

#[parameterized(
    nothing_yet = { 10_000, 0, 0 },
    half_a_second = { 10_000, 500, 5 },
    no_more_than_a_burst = { 10_000, 60_000, 10 },
    slow_rate_still_gives_one = { 100, 60_000, 1 },
    no_rate = { 0, 60_000, 0 },
)]
fn bucket_fills_at_its_rate(rate_milli: u64, wait_millis: u64, available: u64) {
    let mut bucket = TokenBucket::empty(rate_milli, SECOND, START);
    let now = START.after(Duration::from_millis(wait_millis));
    assert_eq!(bucket.take(1_000, now), available);
}

#[test]
fn take_larger_than_the_bucket_leaves_a_debt() {
    let mut bucket = TokenBucket::empty(10_000, SECOND, START);
    let mut now = START.after(SECOND);
    assert_eq!(bucket.take_at_least(50, 50, now), 50);
    now = now.after(SECOND * 4);
    assert_eq!(bucket.take(1, now), 0);
    now = now.after(SECOND);
    assert_eq!(bucket.take(10, now), 10);
}

#[test]
fn fewer_tokens_than_needed_are_not_given() {
    let mut bucket = TokenBucket::empty(10_000, SECOND, START);
    let now = START.after(Duration::from_millis(500));
    assert_eq!(bucket.take_at_least(8, 20, now), 0);
    assert_eq!(bucket.take_at_least(4, 20, now), 5);
}
