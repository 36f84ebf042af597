//! Streams to peers that come, go and stay away.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use ryerouter_core::claim::ClaimSettings;
use ryerouter_core::config::ConfigMessage;
use ryerouter_core::control::{ControlEvent, PeerMessage};
use ryerouter_core::identity::{ConfigVersion, NodeName};
use ryerouter_wire::peer::{JsonLineCodec, PEER_PROTOCOL_VERSION, PeerHello, StreamLine};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;

use crate::control::ControlInput;
use crate::logging::discarding_logger;

use super::stream_link::CONNECT_TIMEOUT;
use super::{PeerContext, PeerMetrics, StreamLimits, StreamLinks};

const OVERALL_DEADLINE: Duration = Duration::from_secs(60);

/// Soon enough for a test to wait for it, and long for a message over loopback.
const SOON: Duration = Duration::from_millis(200);

type Lines = FramedRead<TcpStream, JsonLineCodec<StreamLine>>;

fn links() -> (StreamLinks, mpsc::Receiver<ControlEvent>) {
    links_with(StreamLimits::default())
}

fn links_with(limits: StreamLimits) -> (StreamLinks, mpsc::Receiver<ControlEvent>) {
    let (sender, events) = mpsc::channel(16);
    let context = PeerContext {
        hello: PeerHello {
            protocol: PEER_PROTOCOL_VERSION,
            name: NodeName::new("a"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
        },
        input: ControlInput::new(sender),
        metrics: PeerMetrics::new(),
        logger: discarding_logger(),
        tls: None,
        seal: None,
    };
    (StreamLinks::with_limits(context, limits), events)
}

fn head(version: u64) -> PeerMessage {
    PeerMessage::Config(ConfigMessage::Head(ConfigVersion(version)))
}

async fn within_deadline<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(OVERALL_DEADLINE, future)
        .await
        .expect("did not happen before the overall deadline of the test")
}

async fn accept(listener: &TcpListener) -> Lines {
    let (stream, _) = within_deadline(listener.accept()).await.unwrap();
    let mut lines = Lines::new(stream, JsonLineCodec::default());
    let hello = within_deadline(lines.next()).await.unwrap().unwrap();
    assert!(matches!(hello, StreamLine::Hello(_)));
    lines
}

async fn next_message(lines: &mut Lines) -> PeerMessage {
    match within_deadline(lines.next()).await.unwrap().unwrap() {
        StreamLine::Message(message) => message,
        StreamLine::Hello(_) => panic!("second hello"),
    }
}

#[tokio::test]
async fn messages_share_one_stream_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (mut links, mut events) = links();

    for version in 1..=3 {
        links.send(to, head(version));
    }

    let mut lines = accept(&listener).await;
    for version in 1..=3 {
        assert_eq!(next_message(&mut lines).await, head(version));
    }
    assert!(events.try_recv().is_err());
}

#[tokio::test]
async fn a_peer_that_is_not_there_fails_each_message_and_is_found_again() {
    // Bound and not listening: connections are refused, and the port is nobody else's.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let to = socket.local_addr().unwrap();
    let (mut links, mut events) = links();

    for version in 1..=3 {
        links.send(to, head(version));
    }
    for _ in 0..3 {
        let event = within_deadline(events.recv()).await;
        assert!(matches!(event, Some(ControlEvent::StreamFailed { to: failed }) if failed == to));
    }

    let listener = socket.listen(16).unwrap();
    let found = async {
        loop {
            links.send(to, head(4));
            tokio::select! {
                lines = accept(&listener) => return lines,
                event = events.recv() => {
                    assert!(matches!(event, Some(ControlEvent::StreamFailed { .. })));
                }
            }
        }
    };
    let mut lines = within_deadline(found).await;
    assert_eq!(next_message(&mut lines).await, head(4));
}

#[tokio::test]
async fn a_stream_that_the_peer_closes_is_opened_anew() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (mut links, mut events) = links();
    links.send(to, head(1));
    let mut lines = accept(&listener).await;
    assert_eq!(next_message(&mut lines).await, head(1));

    drop(lines);
    let event = within_deadline(events.recv()).await;
    assert!(matches!(event, Some(ControlEvent::StreamFailed { .. })));

    links.send(to, head(2));
    let mut lines = accept(&listener).await;
    assert_eq!(next_message(&mut lines).await, head(2));
}

#[tokio::test]
async fn a_stream_whose_peer_says_nothing_is_not_believed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (mut links, mut events) = links_with(StreamLimits {
        confirm_after: SOON,
        confirm_timeout: SOON,
    });
    links.send(to, head(1));
    // Takes bytes, closes nothing, and nobody reads them.
    let _silent = accept(&listener).await;

    let event = within_deadline(events.recv()).await;
    assert!(matches!(event, Some(ControlEvent::StreamFailed { to: failed }) if failed == to));

    links.send(to, head(2));
    let mut lines = accept(&listener).await;
    assert_eq!(next_message(&mut lines).await, head(2));
}

#[tokio::test]
async fn a_silent_stream_in_use_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (mut links, _events) = links_with(StreamLimits {
        confirm_after: SOON,
        ..StreamLimits::default()
    });
    links.send(to, head(1));
    let _silent = accept(&listener).await;

    let replaced = async {
        loop {
            links.send(to, head(2));
            tokio::select! {
                lines = accept(&listener) => return lines,
                () = tokio::time::sleep(Duration::from_millis(5)) => {}
            }
        }
    };
    let mut lines = within_deadline(replaced).await;

    links.send(to, head(3));
    let told = async { while next_message(&mut lines).await != head(3) {} };
    within_deadline(told).await;
}

#[tokio::test]
async fn a_stream_that_its_peer_reads_to_the_end_fails_no_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (mut links, mut events) = links_with(StreamLimits {
        confirm_after: SOON,
        ..StreamLimits::default()
    });
    for version in 1..=3 {
        links.send(to, head(version));
        let mut lines = accept(&listener).await;
        assert_eq!(next_message(&mut lines).await, head(version));
        // The sender ends the stream to learn whether all of it was taken.
        assert!(within_deadline(lines.next()).await.is_none());
    }
    assert!(events.try_recv().is_err());
}

#[test]
fn a_release_is_sent_for_longer_than_a_silent_stream_is_believed() {
    let claims = ClaimSettings::default();
    let sent_for = claims.release_interval * claims.max_release_sends;
    let believed_for = StreamLimits::default().confirm_after + CONNECT_TIMEOUT;
    assert!(
        sent_for > believed_for,
        "{sent_for:?} against {believed_for:?}"
    );
}
