//! Placement among the engines of the version that takes requests.

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::release::Stage;
use ryerouter_gateway::catalogue::{CacheScope, RequestKind};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::placement::PlacementRequest;
use support::gateway_bench::{configure, gateway_with, list_engines, run_paused};
use support::records::{ZONE, model_table, route};
use support::releases::{
    PRESENT, TARGET, engine_of, grant, new_node, place, pool, release_settings,
};
use support::test_dialect::prompt;

/// Few of the present version among many that take nothing.
const PRESENT_ENGINES: usize = 8;
const TARGET_ENGINES: usize = 40;
const NODES: usize = 20;
const TOKENS_PER_SECOND: u32 = 60_000;

fn present_engines() -> Vec<EngineEntry> {
    let names = (0..PRESENT_ENGINES).map(|index| format!("old-{index}"));
    names.map(|name| engine_of(&name, PRESENT)).collect()
}

fn all_engines() -> Vec<EngineEntry> {
    let names = (0..TARGET_ENGINES).map(|index| format!("new-{index}"));
    let target = names.map(|name| engine_of(&name, TARGET));
    present_engines().into_iter().chain(target).collect()
}

/// A node that keeps some engines for requests that mostly read.
fn node_with(entries: Vec<EngineEntry>) -> Rc<Gateway> {
    let node = gateway_with(release_settings("node-1"));
    let mut route = route(RequestKind::Streaming);
    route.longest_pause = Some(Duration::from_millis(600));
    configure(&node, model_table(vec![route]));
    list_engines(&node, entries);
    node
}

/// The same in a large deployment, where the target version was rolled back.
fn large_node() -> Rc<Gateway> {
    let node = node_with(all_engines());
    let mut message = new_node(1, ZONE).peer_message(true);
    message.known_nodes = NODES;
    node.receive_peer_message(message);
    assert!(node.state().peers.is_large());
    node.publish_grant(grant(Stage::RolledBack, 0.0, 1));
    node
}

/// Nobody would read it there, and each node would choose for itself.
#[test]
fn engine_of_another_version_is_not_the_first_reader_of_a_prompt() {
    run_paused(async {
        let node = large_node();
        for prefix in 0..10 {
            let engine_for = |own: usize| {
                let prompt = prompt(&format!("shared-{prefix},own-{own}"));
                let placement = node.choose(&PlacementRequest {
                    id: &format!("r-{prefix}-{own}"),
                    pool: &pool(),
                    prompt: Some(&prompt),
                    cache_scope: &CacheScope::default(),
                    target_latency: Duration::from_millis(500),
                    body_bytes: 10,
                    tried: &[],
                });
                placement.expect("engine").engine
            };
            let engines: BTreeSet<_> = (0..20).map(engine_for).collect();
            assert_eq!(engines.len(), 1, "{engines:?}");
        }
    });
}

/// Of engines that take nothing there would be most in it.
#[test]
fn sample_is_drawn_from_the_engines_that_take_requests() {
    run_paused(async {
        let node = large_node();
        for index in 0..PRESENT_ENGINES / 2 {
            let mut state = node.state_mut();
            let name = BackEndName::new(format!("old-{index}"));
            let engine = state.engines.get_mut(&name).expect("engine");
            engine.foreign_load.requests = engine.entry.slots;
        }
        let busy = |engine: &BackEndName| {
            let state = node.state();
            state.engines.get(engine).expect("engine").load().requests > 0
        };
        let requests = 400;
        let placed = (0..requests).filter_map(|number| place(&node, &format!("r{number}"), &[]));
        let to_busy = placed.filter(|placement| busy(&placement.engine)).count();
        // All four that are compared are busy in one of seventy cases.
        assert!(to_busy < requests / 20, "{to_busy} of {requests}");
    });
}

#[test]
fn engines_that_take_nothing_are_not_divided() {
    run_paused(async {
        let alone = node_with(present_engines());
        let beside = node_with(all_engines());
        beside.publish_grant(grant(Stage::Trial, 0.05, 1));
        for node in [&alone, &beside] {
            let now = node.clock().now();
            let demand = &mut node.state_mut().prefill_demand;
            demand.count(&pool(), TOKENS_PER_SECOND, now);
        }
        let prefill_split = |node: &Gateway| {
            node.refresh_prefill_splits();
            node.state_mut().prefill_splits.remove(&pool())
        };
        let expected = prefill_split(&alone);
        assert!(expected.is_some());
        assert_eq!(prefill_split(&beside), expected);
    });
}
