//! Cost of finding, checking and ordering the events of a stream.

use std::collections::VecDeque;
use std::hint::black_box;

use bytes::Bytes;
use divan::Bencher;
use divan::counter::ItemsCount;
use ryerouter_node::relay::EventStream;

const MAX_EVENT_BYTES: usize = 256 * 1024;
const CHUNKS: u64 = 10_000;

fn main() {
    divan::main();
}

/// The bytes of a stream of chunks as engines write them.
fn stream_bytes() -> Vec<u8> {
    let mut bytes = Vec::new();
    for index in 0..CHUNKS {
        let event = format!(
            "id: {index}\ndata: {{\"id\":\"chatcmpl-0123456789abcdef\",\"object\":\
             \"chat.completion.chunk\",\"created\":1700000000,\"model\":\"appraiser\",\
             \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\" word{index}\"}},\
             \"finish_reason\":null}}]}}\n\n"
        );
        bytes.extend_from_slice(event.as_bytes());
    }
    bytes
}

/// Pieces as reads of a socket return them: many events each, cut anywhere.
#[divan::bench(args = [256, 1_460, 8_192, 65_536])]
fn pieces_of(bencher: Bencher<'_, '_>, piece_bytes: usize) {
    let bytes = Bytes::from(stream_bytes());
    bencher
        .counter(ItemsCount::new(CHUNKS))
        .bench_local(|| read_in_pieces(&bytes, piece_bytes));
}

/// One event a piece, as engines that flush each chunk send them.
#[divan::bench]
fn one_event_a_piece(bencher: Bencher<'_, '_>) {
    let bytes = Bytes::from(stream_bytes());
    let mut ends: Vec<usize> = Vec::new();
    let mut from = 0;
    while let Some(found) = memchr::memmem::find(&bytes[from..], b"\n\n") {
        from += found + 2;
        ends.push(from);
    }
    bencher
        .counter(ItemsCount::new(CHUNKS))
        .bench_local(|| read_to_ends(&bytes, &ends));
}

fn read_in_pieces(bytes: &Bytes, piece_bytes: usize) {
    let ends = (piece_bytes..bytes.len()).step_by(piece_bytes);
    let ends: Vec<usize> = ends.chain([bytes.len()]).collect();
    read_to_ends(bytes, &ends);
}

fn read_to_ends(bytes: &Bytes, ends: &[usize]) {
    let mut stream = EventStream::new(MAX_EVENT_BYTES);
    let mut output = VecDeque::new();
    let mut start = 0;
    for end in ends {
        let piece = bytes.slice(start..*end);
        black_box(stream.push(piece, &mut output)).expect("the stream is sound");
        output.clear();
        start = *end;
    }
    assert_eq!(stream.delivered_chunks(), CHUNKS);
}
