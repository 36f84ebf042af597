//! Versions that are taken off the stored record once their streams can't be under way any more.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::continuation::{StoreSettings, sync_continuations};
use ryerouter_gateway::gateway::Gateway;
use support::continuation_records::ContinuationRecords;
use support::fleet::introduce;
use support::gateway_bench::{gateway, list_engines, run_paused};
use support::releases::{PRESENT, TARGET, engine_of, pool};
use tokio::task::JoinSet;
use tokio::time::sleep;
use yare::parameterized;

/// Interval at which nodes read their list and hear of each other.
const STEP: Duration = Duration::from_millis(250);
/// Nodes have recorded the versions by then.
const SETTLED: Duration = Duration::from_secs(5);
/// A version that left so long ago is taken off the record.
const TAKEN_OFF: Duration = Duration::from_secs(130);

/// Nodes that share a store, on virtual time.
struct Nodes {
    nodes: Vec<Rc<Gateway>>,
    store: Rc<ContinuationRecords>,
    _tasks: JoinSet<()>,
}

impl Nodes {
    fn start(count: usize) -> Self {
        let nodes: Vec<_> = (0..count)
            .map(|index| gateway(&format!("node-{index}")))
            .collect();
        let store: Rc<ContinuationRecords> = Rc::default();
        let mut tasks = JoinSet::new();
        for node in &nodes {
            let settings = StoreSettings {
                write_interval: Duration::from_millis(100),
                is_first_start: true,
            };
            tasks.spawn_local(sync_continuations(
                Rc::clone(node),
                Rc::clone(&store) as _,
                settings,
            ));
        }
        Self {
            nodes,
            store,
            _tasks: tasks,
        }
    }

    /// All nodes list engines of these versions for some time.
    async fn serve(&self, versions: &[&str], time: Duration) {
        for _ in 0..time.div_duration_f64(STEP) as usize {
            for node in &self.nodes {
                let engines = versions.iter().map(|version| engine_of(version, version));
                list_engines(node, engines.collect());
                node.refresh_versions();
            }
            introduce(&self.nodes);
            sleep(STEP).await;
        }
    }

    /// Nodes that take a version for recorded.
    fn believing(&self, software: &str) -> usize {
        let believes = |node: &&Rc<Gateway>| {
            let state = node.state();
            !state.continuations.versions.lacks(&pool(), software)
        };
        self.nodes.iter().filter(believes).count()
    }
}

#[parameterized(
    one_node = { 1 },
    as_many_as_write = { 4 },
    more_than_write = { 7 },
    many = { 12 },
)]
fn streams_are_stored_after_an_upgrade_is_over(count: usize) {
    run_paused(async {
        let nodes = Nodes::start(count);
        nodes.serve(&[PRESENT, TARGET], SETTLED).await;
        assert_eq!(nodes.store.versions_of(&pool()).len(), 2);
        nodes.serve(&[TARGET], TAKEN_OFF).await;
        assert_eq!(nodes.store.versions_of(&pool()), [TARGET]);
        let storing = nodes.nodes.iter().filter(|node| {
            let state = node.state();
            state.continuations.versions.is_mixed(&pool())
        });
        assert_eq!(storing.count(), 0, "nodes of {count} store streams");
        let calls = nodes.store.calls.get();
        nodes.serve(&[TARGET], TAKEN_OFF).await;
        assert_eq!(nodes.store.calls.get() - calls, 0, "calls for nothing");
    });
}

/// A version that comes back after it was taken off the record is not recorded, whatever nodes have read before.
#[parameterized(
    as_many_as_write = { 4 },
    more_than_write = { 7 },
    many = { 12 },
)]
fn version_that_is_back_counts_as_recorded(count: usize) {
    run_paused(async {
        let nodes = Nodes::start(count);
        nodes.serve(&[PRESENT, TARGET], SETTLED).await;
        nodes.serve(&[TARGET], TAKEN_OFF).await;
        nodes.store.takes_no_writes.set(true);
        nodes.serve(&[PRESENT, TARGET], SETTLED).await;
        assert_eq!(nodes.believing(PRESENT), 0, "nodes of {count}");
        nodes.store.takes_no_writes.set(false);
        nodes.serve(&[PRESENT, TARGET], SETTLED * 6).await;
        assert_eq!(nodes.store.versions_of(&pool()).len(), 2);
        assert_eq!(nodes.believing(PRESENT), count);
    });
}

/// The store carries the removal out, whose answer was lost, once the version is back.
#[parameterized(
    one_node = { 1 },
    many = { 7 },
)]
fn version_is_taken_off_after_it_came_back(count: usize) {
    run_paused(async {
        let nodes = Nodes::start(count);
        nodes.serve(&[PRESENT, TARGET], SETTLED).await;
        nodes.store.holds_back_versions.set(true);
        nodes.serve(&[TARGET], TAKEN_OFF).await;
        assert!(nodes.store.has_held_back());
        assert_eq!(nodes.store.versions_of(&pool()).len(), 2);
        nodes.store.holds_back_versions.set(false);
        nodes.serve(&[PRESENT, TARGET], SETTLED).await;
        nodes.store.carry_out_held_back();
        let is_recorded = nodes.store.versions_of(&pool()).len() == 2;
        assert!(is_recorded || nodes.believing(PRESENT) == 0);
    });
}
