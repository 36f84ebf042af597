//! Whatever order, copies and pieces a stream arrives in, the caller's side is the same.

use std::collections::VecDeque;

use bytes::Bytes;
use proptest::prelude::*;
use ryerouter_node::relay::{EventFields, EventStream, RelayFault, StreamProgress};
use yare::parameterized;

const LIMIT: usize = 4_096;
const LINE_ENDS: &[&str] = &["\n", "\r\n"];

fn event(index: usize, text: &str, line_end: &str) -> String {
    format!(
        "id: {index}{line_end}data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\
         {line_end}{line_end}"
    )
}

fn last_event(index: usize) -> String {
    format!("id: {index}\ndata: {{\"usage\":{{\"prompt_tokens\":5}}}}\n\n")
}

const DONE: &str = "data: [DONE]\n\n";

/// Feeds `bytes` in pieces that end at `cuts`.
fn feed(
    stream: &mut EventStream,
    bytes: &[u8],
    cuts: &[usize],
) -> (String, Result<StreamProgress, RelayFault>) {
    let mut output = VecDeque::new();
    let mut progress = Ok(StreamProgress::Open);
    let mut start = 0;
    for end in cuts.iter().copied().chain([bytes.len()]) {
        let piece = Bytes::copy_from_slice(&bytes[start..end]);
        progress = stream.push(piece, &mut output);
        if !matches!(progress, Ok(StreamProgress::Open)) {
            break;
        }
        start = end;
    }
    let output: Vec<u8> = output.into_iter().flatten().collect();
    (String::from_utf8_lossy(&output).into_owned(), progress)
}

/// A stream as sent, with duplicates and local disorder, and as it should arrive.
fn scrambled_stream() -> impl Strategy<Value = (String, String)> {
    let texts = prop::collection::vec("[ a-z\u{e9}]{0,12}", 1..40);
    let line_end = prop::sample::select(LINE_ENDS);
    let swaps = prop::collection::vec(any::<bool>(), 40);
    let copies = prop::collection::vec(0_usize..3, 40);
    (texts, line_end, swaps, copies).prop_map(|(texts, line_end, swaps, copies)| {
        let mut events: Vec<String> = texts
            .iter()
            .enumerate()
            .map(|(index, text)| event(index, text, line_end))
            .collect();
        events.push(last_event(texts.len()));
        let expected = events.concat() + DONE;
        for index in 1..events.len() {
            if swaps[index - 1] {
                events.swap(index - 1, index);
            }
        }
        let mut sent = String::from(": a comment\n\n");
        for (event, copies) in events.iter().zip(copies) {
            sent.push_str(&event.repeat(1 + copies));
        }
        (sent + DONE, expected)
    })
}

proptest! {
    #[test]
    fn chunks_arrive_once_in_order_however_they_are_cut(
        (sent, expected) in scrambled_stream(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(sent.len())).collect();
        cuts.sort_unstable();
        let mut stream = EventStream::new(LIMIT);
        let (output, progress) = feed(&mut stream, sent.as_bytes(), &cuts);
        prop_assert_eq!(output.replace(":\n\n", ""), expected);
        prop_assert!(matches!(progress, Ok(StreamProgress::Done(_))), "{:?}", progress);
    }

    #[test]
    fn a_stream_resumed_anywhere_is_whole(
        texts in prop::collection::vec("[a-z]{0,9}", 1..20),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut events: Vec<String> = texts
            .iter()
            .enumerate()
            .map(|(index, text)| event(index, text, "\n"))
            .collect();
        events.push(last_event(texts.len()));
        let whole = events.concat() + DONE;
        let broken = &whole.as_bytes()[..cut.index(whole.len())];
        let mut stream = EventStream::new(LIMIT);
        let (first, _) = feed(&mut stream, broken, &[]);
        stream.restart(LIMIT);
        let from = stream.delivered_chunks() as usize;
        let rest = events[from..].concat() + DONE;
        let (second, progress) = feed(&mut stream, rest.as_bytes(), &[]);
        prop_assert_eq!(first + &second, whole);
        prop_assert!(matches!(progress, Ok(StreamProgress::Done(_))), "{:?}", progress);
        let text = texts.concat();
        prop_assert_eq!(stream.text().as_json_text(), Some(text.as_str()));
    }

    #[test]
    fn garbage_never_reaches_the_caller(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut stream = EventStream::new(LIMIT);
        let (output, _) = feed(&mut stream, &bytes, &[bytes.len() / 2]);
        prop_assert_eq!(output.replace(":\n\n", ""), "");
    }
}

#[parameterized(
    spaced = { r#"{"delta": {"content" : "a\"b"}}"#, Some(r#"a\"b"#) },
    plain_completion = { r#"{"choices":[{"text":"x"}]}"#, Some("x") },
    role_only = { r#"{"delta":{"role":"assistant","content":null}}"#, Some("") },
    name_in_a_string = { r#"{"id":"\"content\":\"no\"","content":"yes"}"#, Some("yes") },
    name_as_a_value = { r#"{"a":"content","content":"yes"}"#, Some("yes") },
    tool_call = { r#"{"delta":{"tool_calls":[]}}"#, None },
)]
fn text_is_taken_from_chunks(chunk: &str, text: Option<&str>) {
    let mut delivered = ryerouter_node::relay::DeliveredText::default();
    delivered.append(chunk.as_bytes());
    assert_eq!(delivered.as_json_text(), text);
}

#[parameterized(
    usual = { b"id: 7\ndata: x\n\n", Some(7), Some(b"x") },
    no_spaces = { b"id:7\ndata:x\n\n", Some(7), Some(b"x") },
    carriage_returns = { b"id: 7\r\ndata: x\r\n\r\n", Some(7), Some(b"x") },
    other_fields = { b"event: e\nid: 7\nretry: 1\n\n", Some(7), None },
    negative = { b"id: -1\ndata: x\n\n", None, Some(b"x") },
    too_large = { b"id: 18446744073709551616\n\n", None, None },
)]
fn fields_are_read(event: &[u8], index: Option<u64>, data: Option<&[u8]>) {
    let fields = EventFields::parse(event);
    assert_eq!(fields.index, index);
    assert_eq!(fields.data.map(|data| &event[data]), data);
}
