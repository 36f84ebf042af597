//! Callers that read their answers slowly, or not at all, while the node stops.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use ryerouter_gateway::catalogue::RequestKind;
use socket2::{Domain, Socket, Type};
use support::scripted_engine::Step;
use support::stopping_node::StoppingNode;

/// More than the system takes of one connection for a caller that reads slowly.
const LONG_ANSWER_BYTES: usize = 7 * 1_024 * 1_024;
const EVENT_BYTES: usize = 900 * 1_024;
const EVENTS: usize = 12;
const RECEIVE_BUFFER_BYTES: usize = 32 * 1_024;
/// A caller reads so many bytes at once, then pauses.
const READ_BYTES: usize = 64 * 1_024;
const READ_PAUSE: Duration = Duration::from_millis(2);
/// Far longer than a test takes.
const LONG_GRACE: Duration = Duration::from_secs(60);
const SHORT_GRACE: Duration = Duration::from_millis(500);
const REQUEST: &str =
    "POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
const END_OF_STREAM: &[u8] = b"\r\n0\r\n\r\n";

fn long_answer() -> Step {
    Step::Answer(200, "x".repeat(LONG_ANSWER_BYTES).leak())
}

fn long_stream() -> Step {
    let event = format!("data: {}\n\n", "x".repeat(EVENT_BYTES));
    let event: &str = event.leak();
    Step::Events(vec![event; EVENTS].leak())
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    let size = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    size.expect("receive buffer");
    socket.connect(&address.into()).expect("connect");
    socket.into()
}

fn send(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(REQUEST.as_bytes()).expect("write");
    stream
}

/// What the caller gets until the connection ends, read slowly.
fn read_slowly(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
        sleep(READ_PAUSE);
    }
    received
}

fn body_bytes(answer: &[u8]) -> usize {
    let mut parts = answer.windows(END_OF_HEAD.len());
    let head = parts.position(|part| part == END_OF_HEAD);
    answer.len() - head.expect("head") - END_OF_HEAD.len()
}

#[test]
fn long_answer_is_not_cut_by_a_planned_stop() {
    let node = StoppingNode::start(RequestKind::Unsafe, vec![long_answer()], LONG_GRACE);
    let mut caller = send(node.address);
    assert!(node.goes_on(), "ended with an answer unread");
    assert_eq!(body_bytes(&read_slowly(&mut caller)), LONG_ANSWER_BYTES);
    assert!(node.ends(), "goes on with nothing left to do");
}

#[test]
fn end_of_a_stream_is_not_cut_by_a_planned_stop() {
    let node = StoppingNode::start(RequestKind::Streaming, vec![long_stream()], LONG_GRACE);
    let mut caller = send(node.address);
    let stream = read_slowly(&mut caller);
    assert!(stream.ends_with(END_OF_STREAM), "{} bytes", stream.len());
    assert!(node.ends(), "goes on with nothing left to do");
}

#[test]
fn caller_that_reads_nothing_does_not_hold_the_node_beyond_its_grace() {
    let node = StoppingNode::start(RequestKind::Unsafe, vec![long_answer()], SHORT_GRACE);
    let _caller = send(node.address);
    assert!(node.ends());
}

#[test]
fn kept_connection_does_not_hold_a_node_that_stops() {
    let step = Step::Answer(200, "ok");
    let node = StoppingNode::start(RequestKind::Unsafe, vec![step], LONG_GRACE);
    let _kept = send(node.address);
    assert!(node.ends());
}
