//! The event splitter and the retry budget.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use ryerouter_core::Timestamp;
use ryerouter_gateway::relay::{EventSplitter, StreamPosition};
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
    let mut position = StreamPosition::Start;
    for chunk in chunks {
        if let Some(batch) = splitter.push(chunk.as_bytes()).unwrap() {
            passed.extend_from_slice(&batch);
            position.advance(&batch);
        }
    }
    assert_eq!(passed, out.as_bytes());
    assert_eq!(position.last_id(), last_id);
    assert_eq!(splitter.buffered_bytes(), held);
}

fn after(id: &str) -> StreamPosition {
    StreamPosition::After(id.to_owned())
}

/// A stream went on at an older event, or at the beginning, where the last event was not text or had no id.
#[parameterized(
    half_of_a_character = { b"id: 1\ndata: a\n\nid: 2\ndata: \xe7\xbd\n\n", after("2") },
    noise_only = { b"id: 3\ndata: \xff\xfe\n\n", after("3") },
    noise_in_another_field = { b"event: \xff\nid: 4\ndata: a\n\n", after("4") },
    id_behind_the_data = { b"data: \xe7\nid: 5\n\n", after("5") },
    id_twice = { b"id: 5\nid: 6\ndata: a\n\n", after("6") },
    id_in_the_data = { b"id: 1\ndata: id: 9\n\n", after("1") },
    id_without_data = { b"id: 7\n\n", after("7") },
    id_that_is_no_ascii = { "id: 第7\ndata: a\n\n".as_bytes(), after("第7") },
    another_field_that_begins_alike = { b"id: 1\ndata: a\n\nidentity: 2\n\n", after("1") },
    comment_behind_an_event = { b"id: 1\ndata: a\n\n: still here\n\n", after("1") },
    comment_first = { b": hello\n\n", StreamPosition::Start },
    no_id = { b"data: a\n\n", StreamPosition::Unknown },
    no_id_behind_one = { b"id: 1\ndata: a\n\ndata: b\n\n", StreamPosition::Unknown },
    empty_id = { b"id: 1\ndata: a\n\nid:\ndata: b\n\n", StreamPosition::Unknown },
    id_without_a_colon = { b"id: 1\ndata: a\n\nid\ndata: b\n\n", StreamPosition::Unknown },
    id_that_is_no_text = { b"id: \xe7\xbd\ndata: a\n\n", StreamPosition::Unknown },
    id_that_no_header_holds = { b"id: a\x00b\ndata: a\n\n", StreamPosition::Unknown },
    id_again_behind_none = { b"data: a\n\nid: 8\ndata: b\n\n", after("8") },
    carriage_returns = { b"id: 1\r\ndata: \xe7\r\n\r\n", after("1") },
)]
fn stream_goes_on_behind_the_last_event_or_not_at_all(events: &[u8], expected: StreamPosition) {
    let mut position = StreamPosition::Start;
    position.advance(events);
    assert_eq!(position, expected);
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
    assert_eq!(batch.len(), 1_000_002);
}
