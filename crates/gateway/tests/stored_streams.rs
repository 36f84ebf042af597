//! Records of streams in a store that is away, slow, loses answers or comes back from a copy.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::continuation::{Knowledge, StreamId};
use ryerouter_core::identity::PoolName;
use ryerouter_gateway::continuation::{Question, Records, StoreSettings, sync_continuations};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{Item, ItemKind, Revision};
use support::continuation_records::ContinuationRecords;
use support::gateway_bench::{configure, gateway_with, run_paused};
use support::records::{POOL, engine, table};
use support::signalling::settings_of;
use tokio::task::JoinSet;
use tokio::time::sleep;
use yare::parameterized;

/// How often a node writes the records of a shard.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// What the store has taken after its return is there so soon.
const PROMPT: Duration = Duration::from_millis(500);
const VERSIONS: [&str; 2] = ["v1", "v1.2"];

/// One node, alone, before engines of two versions.
struct Node {
    gateway: Rc<Gateway>,
    _tasks: JoinSet<()>,
}

impl Node {
    fn start(store: &Rc<ContinuationRecords>) -> Self {
        let gateway = gateway_with(settings_of(0));
        configure(&gateway, table(1, Vec::new()));
        let mut tasks = JoinSet::new();
        let how = StoreSettings {
            write_interval: WRITE_INTERVAL,
            is_first_start: true,
        };
        let shared = Rc::clone(store);
        tasks.spawn_local(sync_continuations(Rc::clone(&gateway), shared, how));
        let node = Self {
            gateway,
            _tasks: tasks,
        };
        node.list(1);
        node
    }

    /// Reads the list of engines in an era of the source.
    fn list(&self, era: u64) {
        let entries = VERSIONS.map(|software| EngineEntry {
            software: software.to_owned(),
            ..engine(software, "127.0.0.1:1".parse().expect("address"), 1)
        });
        let items = entries.into_iter().map(Item::Engine).collect();
        let now = self.gateway.clock().now();
        let revision = Revision::new(era, 10);
        self.gateway
            .apply_list(ItemKind::Engines, items, revision, now);
    }

    /// Another node tells of streams that this one writes.
    fn tell(&self, ids: std::ops::Range<u64>) {
        let records = Records {
            pool: PoolName::new(POOL),
            software: VERSIONS[0].to_owned(),
            streams: ids.map(StreamId).collect(),
            is_to_be_stored: true,
            writer: None,
        };
        let from = "127.0.0.1:2".parse().expect("address");
        self.gateway.apply_stream_records(&records, from);
    }

    /// Another node asks for a stream.
    fn ask(&self, stream: StreamId) {
        let question = Question {
            number: 1,
            stream,
            pool: PoolName::new(POOL),
            asker: None,
        };
        let from = "127.0.0.1:2".parse().expect("address");
        self.gateway.answer_stream_question(&question, from);
    }

    fn knows(&self, stream: StreamId) -> bool {
        let now = self.gateway.clock().now();
        let state = self.gateway.state();
        state.continuations.register.get(stream, now) != Knowledge::Unknown
    }
}

/// A stream that begins while the store is away has its record as soon as it is back, and so has a caller its answer.
#[test]
fn failed_reading_counts_as_done() {
    run_paused(async {
        let store = Rc::<ContinuationRecords>::default();
        let before = Node::start(&store);
        before.tell(0..64);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(store.stream_ids().len(), 64);
        drop(before);
        let node = Node::start(&store);
        sleep(Duration::from_millis(100)).await;
        store.is_away.set(true);
        let asked = || (0..64).map(StreamId);
        let ask_for = async |time: Duration| {
            for _ in 0..time.as_millis() / 60 {
                asked().for_each(|stream| node.ask(stream));
                sleep(Duration::from_millis(60)).await;
            }
        };
        ask_for(Duration::from_millis(300)).await;
        store.is_away.set(false);
        ask_for(PROMPT).await;
        let known = asked().filter(|stream| node.knows(*stream)).count();
        assert_eq!(known, 64);
    });
}

/// What a copy held when the store came back from it.
#[parameterized(
    nothing = { 0 },
    some_streams = { 1_000 },
    whole_segments = { 9_000 },
)]
fn streams_are_lost_with_a_copy_of_the_store(of_copy: u64) {
    run_paused(async {
        let store = Rc::<ContinuationRecords>::default();
        let node = Node::start(&store);
        node.tell(0..of_copy);
        sleep(Duration::from_secs(1)).await;
        store.make_copy();
        node.tell(of_copy..16_000);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(store.stream_ids().len(), 16_000);
        store.restore_copy_with_streams();
        assert_eq!(store.stream_ids().len() as u64, of_copy);
        node.list(2);
        sleep(PROMPT).await;
        assert_eq!(store.stream_ids().len(), 16_000);
    });
}

/// What began while the store was away is written as soon as it is back.
#[test]
fn pauses_lengthen_an_outage() {
    run_paused(async {
        let store = Rc::<ContinuationRecords>::default();
        let node = Node::start(&store);
        node.tell(0..64);
        sleep(Duration::from_secs(1)).await;
        store.is_away.set(true);
        node.tell(64..128);
        sleep(Duration::from_secs(4)).await;
        store.is_away.set(false);
        sleep(PROMPT).await;
        assert_eq!(store.stream_ids().len(), 128);
    });
}

#[test]
fn records_wait_behind_a_slow_write() {
    run_paused(async {
        let store = Rc::<ContinuationRecords>::default();
        let node = Node::start(&store);
        node.tell(0..64);
        sleep(Duration::from_secs(1)).await;
        let delay = Duration::from_millis(800);
        store.delay.set(delay);
        for round in 1..5 {
            node.tell(round * 64..(round + 1) * 64);
            sleep(WRITE_INTERVAL).await;
        }
        sleep(delay).await;
        assert_eq!(store.stream_ids().len(), 320);
    });
}

#[test]
fn records_wait_for_a_write_that_hangs() {
    run_paused(async {
        let store = Rc::<ContinuationRecords>::default();
        let node = Node::start(&store);
        node.tell(0..64);
        sleep(Duration::from_secs(1)).await;
        store.is_hanging.set(true);
        node.tell(64..128);
        sleep(Duration::from_millis(200)).await;
        store.is_hanging.set(false);
        sleep(PROMPT).await;
        assert_eq!(store.stream_ids().len(), 128);
    });
}

/// A write without an answer may have been carried out, and another one on its revision is in conflict with it.
#[test]
fn records_are_lost_with_answers() {
    run_paused(async {
        let store = Rc::<ContinuationRecords>::default();
        let node = Node::start(&store);
        node.tell(0..64);
        sleep(Duration::from_secs(1)).await;
        store.loses_answers.set(true);
        for round in 1..11 {
            node.tell(round * 64..(round + 1) * 64);
            sleep(Duration::from_millis(300)).await;
        }
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(store.stream_ids().len(), 704);
    });
}

/// A node that has just started writes what it relays before it has read what the store holds.
#[test]
fn first_records_wait_for_a_reading() {
    run_paused(async {
        let store = Rc::<ContinuationRecords>::default();
        let before = Node::start(&store);
        before.tell(0..64);
        sleep(Duration::from_secs(1)).await;
        drop(before);
        let delay = Duration::from_millis(900);
        store.delay.set(delay);
        let node = Node::start(&store);
        node.tell(64..128);
        sleep(delay + WRITE_INTERVAL).await;
        assert_eq!(store.stream_ids().len(), 128);
    });
}

/// The few writes that may follow each other at once hold what began until then, and not one stream each.
#[test]
fn writes_of_single_streams_use_up_the_burst() {
    run_paused(async {
        let store = Rc::<ContinuationRecords>::default();
        let node = Node::start(&store);
        node.tell(0..1);
        sleep(Duration::from_secs(2)).await;
        store.delay.set(Duration::from_millis(10));
        for number in 1..31 {
            node.tell(number * 8..number * 8 + 1);
            sleep(Duration::from_millis(1)).await;
        }
        sleep(Duration::from_millis(20)).await;
        assert_eq!(store.stream_ids().len(), 31);
    });
}
