//! Requests at a version that an order of a release has rejected, after all nodes were killed at once.

mod support;

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ryerouter_core::release::Outcome;
use support::gateway_bench::run;
use support::records::POOL;
use support::release_orders::ReleaseOrders;
use support::versioned_engines::EVENTS;
use support::versioned_nodes::{Attempt, Stream, VersionedNodes};
use tokio::time::sleep;
use yare::parameterized;

const STREAMS: usize = 48;
const PRESENT: &str = "v1";
const REJECTED: &str = "v1.2";
const RAMP: Duration = Duration::from_secs(10);
/// Nodes that have run so long have told each other of the versions, and the store holds them.
const SETTLED: Duration = Duration::from_millis(2_500);
/// The store holds the records of streams by then.
const STREAMS_RECORDED: Duration = Duration::from_millis(400);
/// The orders have been read by then, if the source answers.
const ORDERS_READ: Duration = Duration::from_millis(2_500);
/// Share of sound streams that are served.
const MIN_SERVED: f64 = 0.95;
/// A caller that is refused comes back so many times.
const ATTEMPTS: u32 = 4;

/// Nodes before engines of both versions, of the rejected one more than of the present one if `more_rejected`: the
/// nodes then take it for the present one until they know the orders.
async fn nodes(count: usize, more_rejected: bool) -> VersionedNodes {
    let nodes = VersionedNodes::start(count, &[PRESENT, REJECTED]).await;
    if more_rejected {
        nodes.start_engine(REJECTED).await;
        nodes.list();
    }
    sleep(SETTLED).await;
    nodes
}

/// All nodes are killed and started again while the store holds the order that was rolled back.
async fn kill_all(nodes: &VersionedNodes) -> Rc<ReleaseOrders> {
    sleep(STREAMS_RECORDED).await;
    let orders = Rc::new(ReleaseOrders::default());
    orders.order(POOL, REJECTED, RAMP);
    orders.write(POOL, Outcome::RolledBack);
    *nodes.orders.borrow_mut() = Some(Rc::clone(&orders));
    let all: Vec<_> = (0..nodes.gateways().len()).collect();
    nodes.restart(&all).await;
    orders
}

async fn read(nodes: &VersionedNodes, streams: &mut [Stream], events: u32) -> Vec<Attempt> {
    let reads = streams.iter_mut().enumerate().map(|(index, stream)| {
        let node = nodes.node(index);
        async move { stream.read(&node, events).await }
    });
    join_all(reads).await
}

/// Each caller comes back until its stream goes on or it has been refused too often.
async fn take_up(nodes: &VersionedNodes, streams: &mut [Stream]) {
    let reads = streams
        .iter_mut()
        .enumerate()
        .map(|(index, stream)| async move {
            for attempt in 0..ATTEMPTS {
                let node = nodes.node(index + attempt as usize);
                match stream.read(&node, EVENTS).await {
                    Attempt::Refused {
                        retry_after: Some(after),
                        ..
                    } => sleep(Duration::from_secs_f64(after)).await,
                    _ => return,
                }
            }
        });
    join_all(reads).await;
}

fn new_streams(nodes: &VersionedNodes) -> Vec<Stream> {
    (0..STREAMS).map(|_| nodes.new_stream()).collect()
}

fn is_of(stream: &Stream, version: &str) -> bool {
    stream.versions.contains(version)
}

#[parameterized(
    four_nodes = { 4, false },
    one_node = { 1, false },
    rejected_version_with_more_engines = { 4, true },
)]
fn streams_go_on_at_a_rejected_version_until_the_orders_are_read(count: usize, more: bool) {
    run(async {
        let nodes = nodes(count, more).await;
        let mut streams = new_streams(&nodes);
        read(&nodes, &mut streams, 2).await;
        kill_all(&nodes).await;
        take_up(&nodes, &mut streams).await;
        let gone_on = |stream: &&Stream| is_of(stream, REJECTED) && stream.last > 2;
        assert_eq!(streams.iter().filter(gone_on).count(), 0);
        let present: Vec<_> = streams.iter().filter(|s| is_of(s, PRESENT)).collect();
        let whole = present.iter().filter(|stream| stream.is_whole()).count();
        let share = whole as f64 / present.len() as f64;
        assert!(share >= MIN_SERVED, "{whole} of {}", present.len());
    });
}

#[parameterized(
    four_nodes = { 4 },
    one_node = { 1 },
)]
fn new_streams_begin_at_a_rejected_version_until_the_orders_are_read(count: usize) {
    run(async {
        let nodes = nodes(count, true).await;
        kill_all(&nodes).await;
        let mut streams = new_streams(&nodes);
        take_up(&nodes, &mut streams).await;
        let rejected = streams.iter().filter(|stream| is_of(stream, REJECTED));
        assert_eq!(rejected.count(), 0);
        let whole = streams.iter().filter(|stream| stream.is_whole()).count();
        assert!(whole as f64 >= MIN_SERVED * STREAMS as f64, "{whole}");
    });
}

#[test]
fn streams_go_on_while_the_orders_cannot_be_read() {
    run(async {
        let nodes = nodes(4, false).await;
        let mut streams = new_streams(&nodes);
        read(&nodes, &mut streams, 2).await;
        let orders = kill_all(&nodes).await;
        orders.is_down.set(true);
        streams.extend(new_streams(&nodes));
        take_up(&nodes, &mut streams).await;
        let whole = streams.iter().filter(|stream| stream.is_whole()).count();
        let share = whole as f64 / streams.len() as f64;
        assert!(share >= MIN_SERVED, "{whole} of {}", streams.len());
    });
}

#[test]
fn rejected_version_gets_nothing_once_the_orders_are_read() {
    run(async {
        let nodes = nodes(4, false).await;
        let mut streams = new_streams(&nodes);
        read(&nodes, &mut streams, 2).await;
        kill_all(&nodes).await;
        sleep(ORDERS_READ).await;
        streams.extend(new_streams(&nodes));
        take_up(&nodes, &mut streams).await;
        let at_rejected = |stream: &&Stream| is_of(stream, REJECTED) && stream.last > 2;
        assert_eq!(streams.iter().filter(at_rejected).count(), 0);
    });
}
