//! Which nodes write the records of streams to the store.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use ryerouter_core::identity::NodeName;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::{Datagram, MemberAddress};
use support::gateway_bench::{gateway_with, run};
use support::signalling::settings_of;
use support::versioned_engines::EVENTS;
use support::versioned_nodes::{Stream, VersionedNodes};
use tokio::time::{sleep, timeout};

/// Streams of each case.
const STREAMS: usize = 48;
/// Nodes that have run so long take both versions for settled, and have told each other of them.
const SETTLED: Duration = Duration::from_millis(2_500);
/// Time within which another node takes the place of one writer that has gone.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_000);
/// Nodes that have not run for longer leave the store to others.
const START_TIME: Duration = Duration::from_millis(450);
/// Plays until the machine is quick enough to tell what a node does in this time.
const MAX_PLAYS: usize = 20;

/// Each node but those from `count` on begins its part of the streams.
async fn begin(nodes: &VersionedNodes, count: usize) {
    let mut streams: Vec<Stream> = (0..STREAMS).map(|_| nodes.new_stream()).collect();
    let reads = streams.iter_mut().enumerate().map(|(index, stream)| {
        let node = nodes.node(index % count);
        async move { stream.read(&node, 2).await }
    });
    join_all(reads).await;
}

/// The node hears another one that knows of three more.
fn hear_of_others(gateway: &Gateway) {
    let mut message = gateway_with(settings_of(1)).peer_message(true);
    message.members = (1..=3)
        .map(|number| MemberAddress {
            name: NodeName::new(format!("other-{number}")),
            address: SocketAddr::from(([127, 1, 0, number], 9)),
        })
        .collect();
    gateway.receive_peer_message(message);
}

/// A node that has just started begins streams, and its callers name one that nobody knows. Returns the nodes, and the time
/// since the start.
async fn start_and_begin() -> (VersionedNodes, Duration) {
    let started_at = Instant::now();
    let nodes = VersionedNodes::start(1, &["v1", "v1.2"]).await;
    let node = nodes.node(0);
    hear_of_others(&node.bench.gateway);
    begin(&nodes, 1).await;
    let mut unknown = nodes.new_stream();
    unknown.last = 2;
    unknown.resumes = Some(Some("nobody".to_owned()));
    let limit = Duration::from_millis(100);
    assert!(timeout(limit, unknown.read(&node, EVENTS)).await.is_err());
    (nodes, started_at.elapsed())
}

/// All nodes may start at once, and would all take themselves for the first of each shard.
#[test]
fn node_that_has_just_started_reads_and_writes_for_all_others() {
    run(async {
        for _ in 0..MAX_PLAYS {
            let (nodes, time) = start_and_begin().await;
            let calls = nodes.store.calls.get();
            if time > START_TIME {
                println!("the machine was too busy: {time:?}");
                continue;
            }
            assert_eq!(calls, 1, "it has listed the versions alone");
            sleep(SETTLED).await;
            assert_eq!(nodes.store.stream_ids().len(), STREAMS);
            return;
        }
        panic!("the machine was too busy in {MAX_PLAYS} plays");
    });
}

/// What begins after the kill of a writer is stored before others miss it.
#[test]
fn streams_begun_after_the_kill_of_their_writer_are_not_stored() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        sleep(SETTLED).await;
        let killed = nodes.nodes.borrow_mut().remove(3);
        drop(killed);
        begin(&nodes, 3).await;
        sleep(TAKEOVER_TIME).await;
        assert_eq!(nodes.store.stream_ids().len(), STREAMS);
    });
}

/// Records of a node are lost, while the others still count it as alive.
#[test]
fn streams_of_a_node_that_reaches_no_writer_are_not_stored() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        sleep(SETTLED).await;
        let cut = nodes.node(0);
        let gateway = &cut.bench.gateway;
        gateway.attach_peer_link(Box::new(|_, _, _| {}));
        begin(&nodes, 1).await;
        sleep(TAKEOVER_TIME * 3).await;
        assert_eq!(nodes.store.stream_ids().len(), STREAMS);
    });
}

/// A node of a former build confirms nothing.
#[test]
fn streams_are_not_stored_where_no_node_confirms_them() {
    run(async {
        let nodes = VersionedNodes::start(4, &["v1", "v1.2"]).await;
        sleep(SETTLED).await;
        for node in nodes.nodes.borrow().iter() {
            let others = nodes.gateways();
            let own = node.bench.gateway.settings().identity.peer_address;
            let link = move |_: &Gateway, datagram: &Datagram, receivers: &[SocketAddr]| {
                let Datagram::StreamRecords(records) = datagram else {
                    return;
                };
                let is_receiver = |other: &&Rc<Gateway>| {
                    receivers.contains(&other.settings().identity.peer_address)
                };
                for other in others.iter().filter(is_receiver) {
                    other.apply_stream_records(records, own);
                }
            };
            node.bench.gateway.attach_peer_link(Box::new(link));
        }
        begin(&nodes, 4).await;
        sleep(TAKEOVER_TIME * 3).await;
        assert_eq!(nodes.store.stream_ids().len(), STREAMS);
    });
}
