//! The event splitter and the retry budget.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use ryerouter_core::Timestamp;
use ryerouter_gateway::relay::EventSplitter;
use ryerouter_gateway::retry::{RetrySettings, RetryWindow};
use yare::parameterized;

/// Time within which an engine that sends an event without end is known.
const MAX_EVENT_TIME: Duration = Duration::from_secs(2);

#[parameterized(
    whole = { &["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some("1"), 0 },
    cut_within = { &["id: 1\nda", "ta: a\n\nid: 2"], "id: 1\ndata: a\n\n", Some("1"), 5 },
    two_at_once = { &["id: 1\n\nid: 2\n\n"], "id: 1\n\nid: 2\n\n", Some("2"), 0 },
    carriage_returns = { &["id: 7\r\ndata: a\r\n\r\n"], "id: 7\r\ndata: a\r\n\r\n", Some("7"), 0 },
    without_id = { &["data: a\n\n"], "data: a\n\n", None, 0 },
    nothing_whole = { &["id: 1\n"], "", None, 6 },
)]
fn only_whole_events_come_out(chunks: &[&str], out: &str, last_id: Option<&str>, held: usize) {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    let mut last = None;
    for chunk in chunks {
        if let Some(batch) = splitter.push(chunk.as_bytes()).unwrap() {
            passed.extend_from_slice(&batch.bytes);
            last = batch.last_id.or(last);
        }
    }
    assert_eq!(passed, out.as_bytes());
    assert_eq!(last.as_deref(), last_id);
    assert_eq!(splitter.buffered_bytes(), held);
}

#[test]
fn endless_event_is_given_up() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 700_000];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}

#[test]
fn all_processes_together_keep_to_the_budget() {
    let settings = RetrySettings {
        ratio: 0.2,
        floor: 50.0,
        window: Duration::from_secs(10),
    };
    let processes = 5;
    let mut spent = 0;
    for process in 0..processes {
        let mut window = RetryWindow::default();
        for request in 0..100_u64 {
            let now = Timestamp::from_millis(10_000 + request * 50 + process);
            window.count_request(&settings, now);
            while window.spend(&settings, processes as usize, now) {
                spent += 1;
            }
        }
    }
    let allowed = 0.2 * 500.0 + 50.0;
    assert!(f64::from(spent) <= allowed);
    assert!(f64::from(spent) >= allowed / 2.0);
}

#[test]
fn budget_comes_back_as_the_window_slides() {
    let settings = RetrySettings {
        ratio: 0.0,
        floor: 2.0,
        window: Duration::from_secs(10),
    };
    let mut window = RetryWindow::default();
    let now = Timestamp::from_millis(20_000);
    assert!(window.spend(&settings, 1, now));
    assert!(!window.spend(&settings, 1, now));
    assert!(window.spend(&settings, 1, now.after(Duration::from_secs(11))));
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The time for an event in the smallest parts must not grow with the square of its length.
#[test]
fn each_part_of_an_event_is_searched_once() {
    let mut splitter = EventSplitter::default();
    let began = processor_time();
    for _ in 0..100_000 {
        let batch = splitter.push(b"data: aaaa").expect("part");
        assert_eq!(batch, None);
    }
    let elapsed = processor_time() - began;
    assert!(elapsed < MAX_EVENT_TIME, "{elapsed:?}");
    let end = splitter.push(b"\n").and_then(|_| splitter.push(b"\n"));
    let batch = end.expect("end").expect("event");
    assert_eq!(batch.bytes.len(), 1_000_002);
}
