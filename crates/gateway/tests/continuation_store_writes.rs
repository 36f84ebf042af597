//! What nodes write of versions and streams while the store takes part of it.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::continuation::{StreamId, first_of_shard};
use ryerouter_core::identity::{NodeName, PoolName};
use ryerouter_gateway::continuation::{Records, StoreSettings, sync_continuations};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::{Datagram, MemberAddress};
use support::continuation_records::ContinuationRecords;
use support::gateway_bench::{gateway, list_engines, run_paused};
use support::records::POOL;
use support::releases::engine_of;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

const NODE: &str = "node-1";
const OTHER_POOL: &str = "other";
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which a node that runs alone has written what serves.
const WRITTEN_WITHIN: Duration = Duration::from_secs(5);
/// Writes that may follow each other at once.
const BURST: usize = 4;

fn sync(gateway: &Rc<Gateway>, store: &Rc<ContinuationRecords>) -> JoinHandle<()> {
    let settings = StoreSettings {
        write_interval: WRITE_INTERVAL,
        is_first_start: true,
    };
    let store = Rc::clone(store);
    spawn_local(sync_continuations(Rc::clone(gateway), store, settings))
}

#[test]
fn pool_that_cannot_be_recorded_holds_up_another() {
    run_paused(async {
        let store = Rc::new(ContinuationRecords::default());
        *store.refused_pool.borrow_mut() = Some(PoolName::new(OTHER_POOL));
        let node = gateway("node-1");
        let entry = engine_of("e1", "v1");
        let other = EngineEntry {
            pool: PoolName::new(OTHER_POOL),
            ..engine_of("e2", "v1")
        };
        list_engines(&node, vec![other, entry]);
        let _syncing = sync(&node, &store);
        sleep(WRITTEN_WITHIN).await;
        assert!(store.versions_of(&PoolName::new(OTHER_POOL)).is_empty());
        assert_eq!(store.versions_of(&PoolName::new(POOL)), ["v1"]);
    });
}

#[test]
fn writer_in_conflict_writes_without_a_pause() {
    run_paused(async {
        let store = Rc::new(ContinuationRecords::default());
        store.delay.set(Duration::from_millis(5));
        let node = gateway("node-1");
        list_engines(&node, vec![engine_of("e1", "v1"), engine_of("e2", "v2")]);
        let _syncing = sync(&node, &store);
        sleep(WRITTEN_WITHIN).await;
        store.is_contended.set(true);
        let before = store.calls.get();
        let records = Records {
            pool: PoolName::new(POOL),
            software: "v1".to_owned(),
            streams: vec![StreamId(1)],
            is_to_be_stored: true,
            writer: None,
        };
        let from = "127.0.0.1:2".parse().expect("address");
        node.apply_stream_records(&records, from);
        let time = Duration::from_secs(2);
        sleep(time).await;
        let calls = store.calls.get() - before;
        let paced = time.div_duration_f64(WRITE_INTERVAL) as usize;
        assert!(calls > BURST, "{calls} calls");
        assert!(calls <= paced + 2 * BURST, "{calls} calls in {time:?}");
    });
}

/// A node that ranks before this one for the shard of a stream.
fn better_node(stream: StreamId) -> MemberAddress {
    let hash = |name: &str| xxh3_64(name.as_bytes());
    let names = (2..).map(|number| format!("node-{number}"));
    let is_better = |name: &String| {
        let both = [(hash(NODE), false), (hash(name), true)];
        first_of_shard(stream.shard(), both, 1) == [true]
    };
    MemberAddress {
        name: NodeName::new(names.into_iter().find(is_better).expect("a name")),
        address: "127.0.0.1:3".parse().expect("address"),
    }
}

/// Nodes of other zones are heard of slowly, and each that hears no better node would write.
#[test]
fn node_writes_although_others_know_a_better_writer() {
    run_paused(async {
        let store = Rc::new(ContinuationRecords::default());
        let node = gateway(NODE);
        list_engines(&node, vec![engine_of("e1", "v1"), engine_of("e2", "v2")]);
        let _syncing = sync(&node, &store);
        sleep(WRITTEN_WITHIN).await;
        let handed_over = Rc::new(RefCell::new(Vec::new()));
        let seen = Rc::clone(&handed_over);
        node.attach_peer_link(Box::new(move |_, datagram, receivers| {
            if let Datagram::StreamRecords(_) = datagram {
                seen.borrow_mut().extend_from_slice(receivers);
            }
        }));
        let stream = StreamId(1);
        let better = better_node(stream);
        let from = "127.0.0.1:2".parse().expect("address");
        let told = Records {
            pool: PoolName::new(POOL),
            software: "v1".to_owned(),
            streams: vec![stream],
            is_to_be_stored: false,
            writer: Some(better.clone()),
        };
        node.apply_stream_records(&told, from);
        let to_be_stored = Records {
            is_to_be_stored: true,
            writer: None,
            ..told
        };
        node.apply_stream_records(&to_be_stored, from);
        sleep(WRITE_INTERVAL * 2).await;
        assert_eq!(*handed_over.borrow(), [better.address]);
        assert!(store.stream_ids().is_empty());
        // The named node confirms nothing, so that this one writes.
        sleep(Duration::from_secs(1)).await;
        assert_eq!(store.stream_ids().len(), 1);
    });
}
