//! What a stream may hold besides events.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_gateway::relay::{EventMeter, MeteredBytes, TransferMeter};
use yare::parameterized;

const START: Timestamp = Timestamp::from_millis(1_000);

fn second(number: u64) -> Timestamp {
    START.after(Duration::from_secs(number))
}

#[parameterized(
    whole = { &["id: 1\ndata: a\n\n"], 1 },
    cut_within_a_field = { &["id: 1\nda", "ta: a\n", "\n"], 1 },
    two_at_once = { &["data: a\n\ndata: b\n\n"], 2 },
    several_lines = { &["data: a\ndata: b\n\n"], 1 },
    carriage_returns = { &["data: a\r\n\r", "\n"], 1 },
    blank_lines = { &["\n\n\n\n"], 0 },
    comment = { &[": data: a\n\n"], 0 },
    without_data = { &["id: 1\n\nretry: 5\n\n"], 0 },
    end_is_missing = { &["data: a\n"], 0 },
)]
fn only_events_with_data_count(chunks: &[&str], expected: u32) {
    let mut meter = EventMeter::new(START);
    let mut events = 0;
    for chunk in chunks {
        events += meter.push(chunk.as_bytes(), START).expect("chunk").events;
    }
    assert_eq!(events, expected);
}

/// They would give up a sound engine.
#[parameterized(
    each_second = { 1, ": ping - 2000-01-01 00:00:00.000000+00:00\n\n" },
    seldom = { 15, ": keep-alive, the request is in the queue of the engine\n\n" },
)]
fn comments_that_keep_a_connection_open_are_allowed(interval: u64, comment: &str) {
    let mut meter = EventMeter::new(START);
    let padding = format!(":{}\n\n", " ".repeat(2_048));
    meter.push(padding.as_bytes(), START).expect("padding");
    for number in 0..600 / interval {
        let metered = meter.push(comment.as_bytes(), second(number * interval));
        assert_eq!(metered, Ok(MeteredBytes::default()));
    }
}

#[parameterized(
    comments = { ": a\n" },
    comments_without_an_end = { ":aaaaaaa" },
    blank_lines = { "\n" },
    fields_without_data = { "retry: 1\n\n" },
    lines_of_something_else = { "Internal error\n" },
)]
fn stream_without_events_is_given_up(text: &str) {
    let mut meter = EventMeter::new(START);
    let kibibyte = text.repeat(1_024 / text.len());
    let is_refused = |number| meter.push(kibibyte.as_bytes(), second(number)).is_err();
    let seconds = (0..60).position(is_refused);
    assert!(seconds.is_some_and(|seconds| seconds <= 2), "{seconds:?}");
}

/// Neither an event in parts nor one after the other adds up to a fault.
#[test]
fn stream_of_events_goes_on() {
    let mut meter = EventMeter::new(START);
    for _ in 0..1_000 {
        for part in [": comment\n", "id: 1\n", "data: aaaaaaaaaa", "aaaa\n", "\n"] {
            meter.push(part.as_bytes(), START).expect("part");
        }
    }
    let long = format!("data: {}\n\n", "a".repeat(100_000));
    assert_eq!(
        meter.push(long.as_bytes(), START).map(|it| it.events),
        Ok(1)
    );
}

/// The allowance after a pause ends with the next event.
#[test]
fn bytes_count_from_the_last_event() {
    let mut meter = EventMeter::new(START);
    let filler = "\n".repeat(8_000);
    let later = second(100);
    meter.push(b"data: a\n\n", later).expect("event");
    assert!(meter.clone().push(filler.as_bytes(), later).is_err());
    assert!(meter.push(filler.as_bytes(), second(200)).is_ok());
}

/// A tenth of a kibibyte each tenth of a second.
#[parameterized(
    comments = { ": aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n" },
    line_without_an_end = { "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" },
    event = { "data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n" },
)]
fn slow_bytes_that_go_on_are_a_fault(text: &str) {
    let mut meter = EventMeter::new(START);
    let tenth = |number: u64| START.after(Duration::from_millis(100 * number));
    let tenths = (0..100).position(|number| meter.push(text.as_bytes(), tenth(number)).is_err());
    assert!(tenths.is_some_and(|tenths| tenths <= 15), "{tenths:?}");
}

/// Silence has limits of its own.
#[test]
fn pause_within_an_event_is_no_fault() {
    let mut meter = EventMeter::new(START);
    meter.push(b"data: a", second(1)).expect("start");
    meter.push(b"aaaa", second(5)).expect("part");
    meter.push(b"aaaa", second(9)).expect("part");
    let end = meter.push(b"aaaa\n\n", second(13));
    assert_eq!(end.map(|it| it.events), Ok(1));
}

/// Its fields come at once, but not in one piece.
#[test]
fn long_fields_after_a_comment_are_no_fault() {
    let mut meter = EventMeter::new(START);
    meter.push(b": a\n\n", START).expect("comment");
    let fields = format!("event: {}\n", "a".repeat(1_000));
    for number in 0..3 {
        let at = second(2).after(Duration::from_millis(number * 10));
        meter.push(fields.as_bytes(), at).expect("fields");
    }
    let end = meter.push(b"data: a\n\n", second(2).after(Duration::from_millis(40)));
    assert_eq!(end.map(|it| it.events), Ok(1));
}

/// Many of them share the link and the processor, so that none reaches the bound on its bytes while its caller waits.
#[test]
fn events_that_go_on_side_by_side_are_a_fault() {
    let mut meter = EventMeter::new(START);
    let piece = format!("data: {}\n", "a".repeat(3_000));
    let at = |number: u64| START.after(Duration::from_millis(10 * number));
    let pieces = (0..1_000).position(|number| meter.push(piece.as_bytes(), at(number)).is_err());
    assert!(pieces.is_some_and(|pieces| pieces <= 200), "{pieces:?}");
}

/// An event of many pieces may take the time of its bytes.
#[test]
fn long_event_may_take_its_time() {
    let mut meter = EventMeter::new(START);
    let piece = format!("data: {}\n", "a".repeat(16_384));
    let at = |number: u64| START.after(Duration::from_millis(30 * number));
    for number in 0..50 {
        meter.push(piece.as_bytes(), at(number)).expect("piece");
    }
    let end = meter.push(b"\n", at(50));
    assert_eq!(end.map(|it| it.events), Ok(1));
}

/// A sound body on a narrow link that it shares is not one without end.
#[parameterized(
    narrow_link = { 2_000, false },
    trickle = { 100, true },
)]
fn body_on_a_narrow_link_is_given_up(bytes_of_piece: usize, is_overdue: bool) {
    let mut meter = TransferMeter::of_body();
    for _ in 0..30 {
        meter.push(bytes_of_piece, Duration::from_millis(100));
    }
    assert_eq!(meter.is_overdue(), is_overdue);
}
