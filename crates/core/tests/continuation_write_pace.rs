//! How often records of streams are written.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::WritePace;

const INTERVAL: Duration = Duration::from_millis(100);

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(millis))
}

#[test]
fn stream_after_a_quiet_time_does_not_wait_for_its_record() {
    let mut pace = WritePace::new(INTERVAL);
    for start in [5_000, 10_000] {
        for write in 0..3 {
            assert_eq!(pace.pause_after_write(at(start + write)), Duration::ZERO);
        }
    }
}

#[test]
fn writes_without_a_break_keep_to_the_interval() {
    let mut pace = WritePace::new(INTERVAL);
    let mut now = at(5_000);
    let mut writes = 0;
    while now < at(15_000) {
        now = now.after(pace.pause_after_write(now));
        writes += 1;
    }
    assert!((100..=104).contains(&writes), "{writes}");
}
