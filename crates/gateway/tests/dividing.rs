//! Engines divided between requests that mostly read and those that mostly generate.

mod support;

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName, ZoneName};
use ryerouter_gateway::catalogue::{CacheScope, RequestKind, RoutingTable};
use ryerouter_gateway::engines::{Engine, EngineLoad, EngineTable};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::placement::{
    Chooser, HolderTable, KvStores, PlacementPrices, PlacementRequest, PrefillSplit, Prompt,
    is_prefill_heavy,
};
use ryerouter_gateway::rollout::{PublicationTime, WeightsDeadlines};
use ryerouter_gateway::topology::Topology;
use support::gateway_bench::{configure, gateway, list_engines, run_paused};
use support::records::{POOL, ZONE, engine, model_table, route};
use support::test_dialect::{MODEL, prompt};
use yare::parameterized;

/// Keeps an eighth of the reading time of [`engines`] busy.
const SOME_TOKENS_PER_SECOND: f64 = 30_000.0;
const ENGINES: usize = 8;
const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn engines(count: usize) -> EngineTable {
    let mut engines = EngineTable::default();
    for index in 0..count {
        let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
        engines.upsert(engine(&format!("e{index}"), address, 1));
    }
    engines
}

fn divide(
    engines: &EngineTable,
    tokens_per_second: f64,
    was_divided: bool,
) -> Option<PrefillSplit> {
    let prices = PlacementPrices::default();
    let pool = PoolName::new(POOL);
    PrefillSplit::new(engines, &pool, tokens_per_second, &prices, was_divided)
}

/// A prompt of so many tokens whose answer is expected to have so many.
fn prompt_of(tokens: u32, expected: u32) -> Prompt {
    Prompt {
        parts: Vec::new(),
        prompt_tokens: tokens,
        expected_tokens: Some(expected),
        ..prompt("own")
    }
}

#[parameterized(
    long_with_a_short_answer = { 9_000, 9, true },
    short_with_a_long_answer = { 800, 50, false },
    long_with_a_very_long_answer = { 9_000, 2_000, false },
)]
fn kind_follows_from_the_tokens_of_prompt_and_answer(tokens: u32, expected: u32, prefills: bool) {
    let prompt = prompt_of(tokens, expected);
    assert_eq!(
        is_prefill_heavy(&prompt, &PlacementPrices::default()),
        prefills
    );
}

#[test]
fn share_of_engines_follows_what_is_read() {
    let engines = engines(ENGINES);
    let little = divide(&engines, SOME_TOKENS_PER_SECOND / 2.0, false).unwrap();
    assert_eq!(little.count(&engines), ENGINES - 1);
    // The more slots are taken, the fewer engines are to spare for reading.
    let mut engines = engines;
    for index in 0..ENGINES {
        let name = BackEndName::new(format!("e{index}"));
        let engine = engines.get_mut(&name).unwrap();
        engine.foreign_load.requests = engine.entry.slots / 2;
    }
    let some = divide(&engines, SOME_TOKENS_PER_SECOND / 2.0, false).unwrap();
    assert!(some.count(&engines) < ENGINES / 2);
}

#[test]
fn engines_are_not_divided_where_there_is_no_room_for_it() {
    let engines = engines(ENGINES);
    let much = SOME_TOKENS_PER_SECOND * 4.0;
    assert!(divide(&engines, much, false).is_none());
    assert!(divide(&engines, much, true).is_some(), "not at once");
    assert!(divide(&engines, much * 1.2, true).is_none());
}

#[parameterized(
    nothing_to_read = { ENGINES, 0.0 },
    hardly_anything = { ENGINES, 1_000.0 },
)]
fn engines_are_not_divided_for_little(count: usize, tokens_per_second: f64) {
    assert!(divide(&engines(count), tokens_per_second, false).is_none());
}

#[test]
fn single_engine_of_a_zone_takes_all_kinds_of_requests() {
    let engines = engines(1);
    let prefill_split = divide(&engines, 3_000.0, false).unwrap();
    assert_eq!(prefill_split.count(&engines), 0);
}

struct Side {
    engines: EngineTable,
    prefill_split: PrefillSplit,
    table: RoutingTable,
    deadlines: WeightsDeadlines,
}

impl Side {
    fn new() -> Self {
        let mut engines = engines(ENGINES);
        for index in 0..ENGINES {
            let name = BackEndName::new(format!("e{index}"));
            engines.get_mut(&name).unwrap().foreign_load.requests = 2;
        }
        let prefill_split = divide(&engines, SOME_TOKENS_PER_SECOND, false).unwrap();
        let mut route = route(RequestKind::Streaming);
        route.longest_pause = Some(Duration::from_millis(600));
        Self {
            engines,
            prefill_split,
            table: model_table(vec![route]),
            deadlines: WeightsDeadlines::new(Duration::from_secs(7)),
        }
    }

    /// Whether the engine chosen for a prompt is one of those that mostly read.
    fn prefills(&self, prompt: &Prompt, id: &str) -> bool {
        let engine = self.choose(prompt, id);
        self.prefill_split
            .prefills(self.engines.get(&engine).unwrap())
    }

    fn choose(&self, prompt: &Prompt, id: &str) -> BackEndName {
        let chooser = Chooser {
            engines: &self.engines,
            holders: &HolderTable::new(100),
            table: &self.table,
            kv_stores: &KvStores::default(),
            deadlines: &self.deadlines,
            max_recent_start_delay: Duration::ZERO,
            prices: &PlacementPrices::default(),
            prefill_split: Some(&self.prefill_split),
            is_large: true,
            zone: &ZoneName::new(ZONE),
            topology: &Topology::default(),
            now: NOW,
        };
        let placement = chooser.choose(&PlacementRequest {
            id,
            pool: &PoolName::new(POOL),
            prompt: Some(prompt),
            cache_scope: &CacheScope::default(),
            target_latency: Duration::from_millis(800),
            body_bytes: 1_000,
            tried: &[],
        });
        placement.unwrap().engine
    }

    fn load(&mut self, load: EngineLoad, of_reading: bool) {
        for engine in self.engines.iter_mut() {
            if self.prefill_split.prefills(engine) == of_reading {
                engine.foreign_load = load;
            }
        }
    }
}

#[test]
fn long_prompts_and_long_answers_are_kept_apart() {
    let side = Side::new();
    for id in ["r1", "r2", "r3", "r4"] {
        assert!(side.prefills(&prompt_of(9_000, 9), id));
        assert!(!side.prefills(&prompt_of(800, 50), id));
    }
}

#[test]
fn newest_weights_go_before_the_division() {
    let mut side = Side::new();
    let named_at = PublicationTime::Seen(NOW.before(Duration::from_secs(2)));
    side.deadlines.note(MODEL, 2, named_at);
    let is_other = |engine: &&Engine| !side.prefill_split.prefills(engine);
    let other = side.engines.iter().find(is_other).unwrap();
    let newest = other.entry.name.clone();
    let engine = side.engines.get_mut(&newest).unwrap();
    engine.note_weights(MODEL, 2);
    let ids = (0..30).map(|id| format!("r{id}"));
    let prompt = prompt_of(3_000, 9);
    let chosen = ids.filter(|id| side.choose(&prompt, id) == newest).count();
    assert!(chosen > 10, "{chosen}");
}

#[test]
fn crowded_side_is_left_for_the_other() {
    let mut side = Side::new();
    let crowded = EngineLoad {
        requests: 8,
        unread_tokens: 60_000,
        kv_tokens: 60_000,
    };
    side.load(crowded, true);
    assert!(!side.prefills(&prompt_of(9_000, 9), "r1"));
}

#[test]
fn reading_costs_where_streams_run_and_more_is_read_already() {
    let table = {
        let mut route = route(RequestKind::Streaming);
        route.longest_pause = Some(Duration::from_millis(600));
        model_table(vec![route])
    };
    assert_eq!(
        table.longest_pause(&PoolName::new(POOL)),
        Some(Duration::from_millis(600))
    );
    let mut side = Side::new();
    let name = |index: usize| BackEndName::new(format!("e{index}"));
    for index in 0..ENGINES {
        let engine = side.engines.get_mut(&name(index)).unwrap();
        engine.foreign_load = EngineLoad {
            requests: 6,
            unread_tokens: if index == 0 { 0 } else { 12_000 },
            kv_tokens: 0,
        };
    }
    let chooser = Chooser {
        engines: &side.engines,
        holders: &HolderTable::new(100),
        table: &side.table,
        kv_stores: &KvStores::default(),
        deadlines: &WeightsDeadlines::new(Duration::from_secs(7)),
        max_recent_start_delay: Duration::ZERO,
        prices: &PlacementPrices::default(),
        prefill_split: None,
        is_large: false,
        zone: &ZoneName::new(ZONE),
        topology: &Topology::default(),
        now: NOW,
    };
    let placement = chooser
        .choose(&PlacementRequest {
            id: "r1",
            pool: &PoolName::new(POOL),
            prompt: Some(&prompt_of(6_000, 9)),
            cache_scope: &CacheScope::default(),
            target_latency: Duration::from_secs(30),
            body_bytes: 1_000,
            tried: &[],
        })
        .unwrap();
    assert_eq!(placement.engine, name(0));
}

fn divided(node: &Gateway) -> bool {
    node.refresh_prefill_splits();
    !node.state().prefill_splits.is_empty()
}

#[test]
fn node_divides_engines_by_what_it_and_others_bring_to_read() {
    run_paused(async {
        let (first, second) = (gateway("node-1"), gateway("node-2"));
        let mut route = route(RequestKind::Streaming);
        route.longest_pause = Some(Duration::from_millis(600));
        for node in [&first, &second] {
            configure(node, model_table(vec![route.clone()]));
            let entries = engines(ENGINES);
            list_engines(
                node,
                entries.iter().map(|engine| engine.entry.clone()).collect(),
            );
        }
        assert!(!divided(&first));
        let pool = PoolName::new(POOL);
        let now = first.clock().now();
        let tokens = SOME_TOKENS_PER_SECOND as u32 * 4;
        first.state_mut().prefill_demand.count(&pool, tokens, now);
        assert!(divided(&first));
        second.receive_peer_message(first.peer_message(true));
        assert!(divided(&second));
        let reading =
            |node: &Gateway| node.state().prefill_splits[&pool].count(&node.state().engines);
        assert_eq!(reading(&first), reading(&second));
    });
}
