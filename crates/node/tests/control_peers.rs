//! Streams and datagrams of peers that misbehave.

mod control_support;

use std::net::SocketAddr;

use control_support::{
    ObjectApi, TestNode, TestNodeOptions, create_tenant, until_counted, within_deadline,
};
use ryerouter_core::identity::NodeName;
use ryerouter_wire::peer::{MAXIMUM_LINE_BYTES, PEER_PROTOCOL_VERSION, PeerHello, StreamLine};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use yare::parameterized;

fn hello(protocol: u32) -> Vec<u8> {
    let hello = StreamLine::Hello(PeerHello {
        protocol,
        name: NodeName::new("stranger"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    });
    let mut line = serde_json::to_vec(&hello).unwrap();
    line.push(b'\n');
    line
}

async fn started_node() -> TestNode {
    let api = ObjectApi::start().await;
    let node = TestNode::start(TestNodeOptions::new("a", api.address));
    node.until_serving().await;
    node
}

/// Sends bytes and waits until the node closes the stream.
async fn send_until_closed(node: &TestNode, bytes: &[u8]) {
    let mut stream = TcpStream::connect(node.control.peer_address())
        .await
        .unwrap();
    // The node may close before all is written.
    let _ = stream.write_all(bytes).await;
    let ended = async { while matches!(stream.read(&mut [0; 64]).await, Ok(read) if read > 0) {} };
    within_deadline(ended).await;
}

async fn still_serves(node: &TestNode) {
    let request = create_tenant("mahoe", "change-1");
    let created = node.tenants().await.create_tenant(request).await;
    assert!(created.is_ok(), "{created:?}");
}

#[parameterized(
    garbage = { b"\xff\xfe not json\n".to_vec() },
    message_before_hello = { b"{\"m\":{\"c\":\"q\"}}\n".to_vec() },
    other_protocol = { hello(PEER_PROTOCOL_VERSION + 1) },
    second_hello = { [hello(PEER_PROTOCOL_VERSION), hello(PEER_PROTOCOL_VERSION)].concat() },
    unknown_message = { [hello(PEER_PROTOCOL_VERSION), b"{\"m\":{\"zz\":1}}\n".to_vec()].concat() },
    deep_nesting = { [hello(PEER_PROTOCOL_VERSION), vec![b'['; 100_000], b"\n".to_vec()].concat() },
    endless_line = { [hello(PEER_PROTOCOL_VERSION), vec![b'a'; MAXIMUM_LINE_BYTES + 2]].concat() },
)]
#[test_macro(tokio::test)]
async fn a_malformed_line_is_counted_and_ends_its_stream_only(bytes: Vec<u8>) {
    let node = started_node().await;

    send_until_closed(&node, &bytes).await;

    within_deadline(until_counted(&node.metrics.malformed)).await;
    assert_eq!(node.metrics.malformed.get(), 1);
    still_serves(&node).await;
}

#[tokio::test]
async fn datagrams_sealed_with_another_key_are_dropped() {
    let api = ObjectApi::start().await;
    let key = b"a key of enough bytes";
    let node = TestNode::start(TestNodeOptions::new("a", api.address).sealed_with(key));
    let seeds = [node.control.peer_address()];
    let options = TestNodeOptions::new("b", api.address).seeds(&seeds);
    let member = TestNode::start(options.zone("zone-b").sealed_with(key));
    let options = TestNodeOptions::new("c", api.address).seeds(&seeds);
    let stranger = TestNode::start(options.zone("zone-c").sealed_with(b"some other key there"));
    node.until_serving().await;
    member.until_serving().await;

    within_deadline(until_counted(&node.metrics.malformed)).await;
    within_deadline(until_counted(&stranger.metrics.malformed)).await;

    still_serves(&node).await;
    member.until_version(1).await;
}

#[tokio::test]
async fn malformed_datagrams_are_counted_and_dropped() {
    let node = started_node().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();

    for datagram in [&b"garbage"[..], &[b'{'; 1_401], b""] {
        let address = node.control.peer_address();
        socket.send_to(datagram, address).await.unwrap();
    }

    let counted = async {
        while node.metrics.malformed.get() < 3 {
            tokio::task::yield_now().await;
        }
    };
    within_deadline(counted).await;
    still_serves(&node).await;
}
