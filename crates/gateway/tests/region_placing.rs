//! Choosing an engine where some are in other regions.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName, ZoneName};
use ryerouter_gateway::catalogue::{CacheScope, KvStoreProfile, RequestKind, RoutingTable};
use ryerouter_gateway::engines::{EngineLoad, EngineTable};
use ryerouter_gateway::peers::KvStoreState;
use ryerouter_gateway::placement::{
    Chooser, HolderTable, KvHolder, KvStores, Placement, PlacementPrices, PlacementRequest, Prompt,
};
use ryerouter_gateway::rollout::WeightsDeadlines;
use ryerouter_gateway::topology::Topology;
use support::fleet::three_regions;
use support::records::{POOL, engine, model_table, model_table_in, route};
use support::test_dialect::prompt;
use yare::parameterized;

const NEAR_STORE: &str = "127.0.0.1:900";
const FAR_STORE: &str = "127.0.0.1:901";
/// Requests of as many names, so that draws by name do not decide.
const REQUESTS: usize = 100;

/// A node, and engines by name: the zone, a slash, a number.
struct World {
    engines: EngineTable,
    holders: HolderTable,
    table: RoutingTable,
    kv_stores: KvStores,
    topology: Topology,
    zone: ZoneName,
    is_large: bool,
    now: Timestamp,
}

impl World {
    fn new(names: &[&str]) -> Self {
        let mut engines = EngineTable::default();
        for (index, name) in names.iter().enumerate() {
            let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
            let mut entry = engine(name, address, 1);
            entry.zone = ZoneName::new(&name[..2]);
            engines.upsert(entry);
        }
        Self {
            engines,
            holders: HolderTable::new(100),
            table: model_table(vec![route(RequestKind::Streaming)]),
            kv_stores: KvStores::default(),
            topology: three_regions(),
            zone: ZoneName::new("a1"),
            is_large: false,
            now: Timestamp::from_millis(1_000_000),
        }
    }

    fn choose(&self, id: &str, prompt: Option<&Prompt>, tried: &[BackEndName]) -> Placement {
        let chooser = Chooser {
            engines: &self.engines,
            holders: &self.holders,
            table: &self.table,
            kv_stores: &self.kv_stores,
            deadlines: &WeightsDeadlines::new(Duration::from_secs(7)),
            max_recent_start_delay: Duration::ZERO,
            prices: &PlacementPrices::default(),
            prefill_split: None,
            is_large: self.is_large,
            zone: &self.zone,
            topology: &self.topology,
            now: self.now,
        };
        let placement = chooser.choose(&PlacementRequest {
            id,
            pool: &PoolName::new(POOL),
            prompt,
            cache_scope: &CacheScope::default(),
            target_latency: Duration::from_millis(500),
            body_bytes: 1_000,
            tried,
        });
        placement.expect("engine")
    }

    /// The zones that requests without a prompt go to.
    fn zones_of_plain(&self, tried: &[BackEndName]) -> Vec<String> {
        let zone = |index| {
            self.choose(&format!("r{index}"), None, tried)
                .engine
                .to_string()
        };
        let mut zones: Vec<_> = (0..REQUESTS)
            .map(|index| zone(index)[..2].to_owned())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    fn occupy(&mut self, name: &str, requests: u32) {
        let engine = self.engines.get_mut(&BackEndName::new(name)).unwrap();
        engine.foreign_load = EngineLoad {
            requests,
            ..EngineLoad::default()
        };
    }

    fn hold(&mut self, name: &str, prompt: &Prompt, at: Timestamp) {
        let keys = self.choose("r", Some(prompt), &[]).keys;
        for (key, _) in &keys.0 {
            self.holders.note(*key, &BackEndName::new(name), at);
        }
    }
}

#[test]
fn plain_requests_and_their_retries_go_to_the_near_engine_first() {
    let mut world = World::new(&["a1/0", "a2/0", "b1/0", "c1/0"]);
    assert_eq!(world.zones_of_plain(&[]), ["a1"]);
    let tried = [BackEndName::new("a1/0")];
    assert_eq!(world.zones_of_plain(&tried), ["a2"]);
    // The other regions are faster where the own one is full, and all there is where it is lost.
    world.occupy("a1/0", 8);
    world.occupy("a2/0", 8);
    assert!(
        !world
            .zones_of_plain(&[])
            .iter()
            .any(|zone| zone.starts_with('a'))
    );
    let region = [BackEndName::new("a1/0"), BackEndName::new("a2/0")];
    assert!(!world.zones_of_plain(&region).is_empty());
}

#[test]
fn engines_of_the_own_region_are_compared_before_those_of_others() {
    let near = ["a1/0", "a1/1", "a1/2", "a1/3"];
    let far = ["a2/0", "a2/1", "b1/0", "b1/1", "c1/0", "c1/1"];
    let mut world = World::new(&[&near[..], &far[..]].concat());
    world.is_large = true;
    // Not so full that all are compared.
    near.iter().for_each(|name| world.occupy(name, 7));
    assert_eq!(world.zones_of_plain(&[]), ["a2"]);
}

#[test]
fn cache_is_fetched_from_the_nearest_engine_that_holds_it() {
    let mut world = World::new(&["a1/0", "a2/0", "b1/0"]);
    let shared = prompt("s,x,1");
    let earlier = Timestamp::from_millis(999_500);
    world.hold("a2/0", &shared, earlier);
    world.hold("b1/0", &shared, world.now);
    let holders = [BackEndName::new("a2/0"), BackEndName::new("b1/0")];
    let fetch = world.choose("r1", Some(&shared), &holders).fetch.unwrap();
    assert_eq!(fetch.holder, KvHolder::Engine(BackEndName::new("a2/0")));
}

#[test]
fn store_of_another_region_is_used_only_while_none_answers_in_the_own_one() {
    let mut world = World::new(&["a1/0"]);
    let near: SocketAddr = NEAR_STORE.parse().unwrap();
    let far: SocketAddr = FAR_STORE.parse().unwrap();
    let store = |address, zone| KvStoreProfile {
        address,
        zone: ZoneName::new(zone),
        kv_tokens: 100_000,
    };
    world.table = model_table_in(vec![store(near, "a2"), store(far, "b1")]);
    let saved_to = |world: &World| -> Vec<_> {
        let parts = (0..REQUESTS).map(|index| prompt(&format!("s,{index},1")));
        parts
            .map(|part| world.choose("r", Some(&part), &[]).save_to)
            .collect()
    };
    assert!(saved_to(&world).iter().all(|store| *store == Some(near)));
    world.kv_stores.note(near, KvStoreState::Down);
    assert!(saved_to(&world).iter().all(|store| *store == Some(far)));
}

/// A prompt whose shared parts are so few that nobody is told who holds them.
fn small(part: &str) -> Prompt {
    let mut small = prompt(part);
    small.parts.iter_mut().for_each(|part| part.tokens /= 10);
    small
}

#[parameterized(
    small_parts = { small },
    other_parts = { prompt },
)]
fn each_region_reads_parts_once(prompt: fn(&str) -> Prompt) {
    let parts: Vec<_> = (0..REQUESTS)
        .map(|index| prompt(&format!("s,{index},1")))
        .collect();
    let chosen_from = |zone: &str| -> Vec<_> {
        let mut world = World::new(&["a1/0", "a1/1", "a2/0", "a2/1", "b1/0", "b2/0"]);
        world.zone = ZoneName::new(zone);
        let engines = parts
            .iter()
            .map(|part| world.choose("r", Some(part), &[]).engine);
        engines.collect()
    };
    let (first, second) = (chosen_from("a1"), chosen_from("a2"));
    assert_eq!(first, second);
    assert!(first.iter().any(|name| name.as_str().starts_with("a2")));
    assert!(first.iter().all(|name| name.as_str().starts_with('a')));
    // A region without engines sends them to another one.
    assert_eq!(chosen_from("c1"), chosen_from("c2"));
}
