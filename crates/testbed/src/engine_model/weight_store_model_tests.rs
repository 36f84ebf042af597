//! Tests of the weight store model.

use std::time::Duration;

use ryerouter_core::Timestamp;
use yare::parameterized;

use super::WeightStoreModel;

#[parameterized(
    alone = { 1, 600 },
    at_the_limit = { 3, 600 },
    one_beyond = { 4, 800 },
    twice_the_limit = { 6, 1_200 },
)]
fn loads_beyond_the_limit_take_longer(loads: u32, last_takes_millis: u64) {
    let mut store = WeightStoreModel::new(Duration::from_millis(600), 3);
    let mut end = Timestamp::ZERO;
    for _ in 0..loads {
        end = store.start_load(Timestamp::ZERO);
    }
    assert_eq!(end, Timestamp::from_millis(last_takes_millis));
}

#[test]
fn finished_loads_no_longer_count() {
    let mut store = WeightStoreModel::new(Duration::from_millis(300), 1);
    store.start_load(Timestamp::ZERO);
    let end = store.start_load(Timestamp::from_millis(300));
    assert_eq!(end, Timestamp::from_millis(600));
}
