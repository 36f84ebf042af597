//! Choosing an engine: cached parts, fetches, weights, walls between tenants.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::backpressure::Signal;
use ryerouter_core::identity::{BackEndName, PoolName, TenantName, ZoneName};
use ryerouter_gateway::catalogue::{CacheScope, RequestKind, RoutingTable};
use ryerouter_gateway::engines::{EngineLoad, EngineTable};
use ryerouter_gateway::peers::KvStoreState;
use ryerouter_gateway::placement::{
    Chooser, DelayEstimate, HolderTable, KvHolder, KvStores, Placement, PlacementPrices,
    PlacementRequest, PrefillSplit, Prompt, PromptPart, SourceDelayUpdate, store_holder_name,
};
use ryerouter_gateway::rollout::{PublicationTime, WeightsDeadlines};
use ryerouter_gateway::topology::Topology;
use support::records::{POOL, STORE, ZONE, engine, model_table, model_table_with_stores, route};
use support::test_dialect::{MODEL, PART_TOKENS, prompt};

fn store() -> SocketAddr {
    STORE.parse().unwrap()
}

/// A prompt without shared parts.
fn short_prompt() -> Prompt {
    Prompt {
        parts: Vec::new(),
        prompt_tokens: 300,
        ..prompt("own")
    }
}

struct World {
    engines: EngineTable,
    holders: HolderTable,
    table: RoutingTable,
    deadlines: WeightsDeadlines,
    cache_scope: CacheScope,
    kv_stores: KvStores,
    max_recent_start_delay: Duration,
    is_large: bool,
    prefill_split: Option<PrefillSplit>,
    now: Timestamp,
}

impl World {
    fn new(names: &[&str]) -> Self {
        let mut engines = EngineTable::default();
        for (index, name) in names.iter().enumerate() {
            let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
            engines.upsert(engine(name, address, 1));
        }
        Self {
            engines,
            holders: HolderTable::new(100),
            table: model_table(vec![route(RequestKind::Streaming)]),
            deadlines: WeightsDeadlines::new(Duration::from_secs(7)),
            cache_scope: CacheScope::default(),
            kv_stores: KvStores::default(),
            max_recent_start_delay: Duration::ZERO,
            is_large: false,
            prefill_split: None,
            now: Timestamp::from_millis(1_000_000),
        }
    }

    fn choose(&self, prompt: &Prompt) -> Option<Placement> {
        self.choose_as("r1", prompt)
    }

    fn choose_as(&self, id: &str, prompt: &Prompt) -> Option<Placement> {
        let chooser = Chooser {
            engines: &self.engines,
            holders: &self.holders,
            table: &self.table,
            kv_stores: &self.kv_stores,
            deadlines: &self.deadlines,
            max_recent_start_delay: self.max_recent_start_delay,
            prices: &PlacementPrices::default(),
            prefill_split: self.prefill_split.as_ref(),
            is_large: self.is_large,
            zone: &ZoneName::new(ZONE),
            topology: &Topology::default(),
            now: self.now,
        };
        chooser.choose(&PlacementRequest {
            id,
            pool: &PoolName::new(POOL),
            prompt: Some(prompt),
            cache_scope: &self.cache_scope,
            target_latency: Duration::from_millis(500),
            body_bytes: 1_000,
            tried: &[],
        })
    }

    /// `holder` read the first `count` parts of a prompt.
    fn hold(&mut self, holder: &BackEndName, prompt: &Prompt, count: usize) {
        let placement = self.choose(prompt).expect("engine");
        for (key, _) in &placement.keys.0[..count] {
            self.holders.note(*key, holder, self.now);
        }
    }

    fn busy(&mut self, name: &str) {
        let engine = self.engines.get_mut(&BackEndName::new(name)).unwrap();
        engine.foreign_load = EngineLoad {
            requests: 30,
            unread_tokens: 60_000,
            kv_tokens: 90_000,
        };
    }
}

#[test]
fn all_nodes_choose_the_same_first_reader_without_a_message() {
    let world = World::new(&["a", "b", "c", "d"]);
    let other = World::new(&["d", "c", "b", "a"]);
    for parts in ["s,x,1", "s,y,2", "t,z,3"] {
        let prompt = prompt(parts);
        let chosen = world.choose(&prompt).unwrap().engine;
        assert_eq!(chosen, other.choose(&prompt).unwrap().engine);
    }
}

#[test]
fn engine_that_holds_the_prefix_is_chosen() {
    for name in ["a", "b", "c"] {
        let mut world = World::new(&["a", "b", "c"]);
        world.hold(&BackEndName::new(name), &prompt("s,x,1"), 2);
        let placement = world.choose(&prompt("s,x,2")).unwrap();
        assert_eq!(placement.engine.as_str(), name);
        assert_eq!(placement.cached_tokens, 2 * PART_TOKENS);
    }
}

#[test]
fn busy_holder_lends_its_cache_to_another_engine() {
    let mut world = World::new(&["a", "b"]);
    world.hold(&BackEndName::new("a"), &prompt("s,x,1"), 2);
    world.busy("a");
    let placement = world.choose(&prompt("s,x,2")).unwrap();
    assert_eq!(placement.engine.as_str(), "b");
    let fetch = placement.fetch.unwrap();
    assert_eq!(fetch.holder, KvHolder::Engine(BackEndName::new("a")));
    assert_eq!(fetch.tokens, 2 * PART_TOKENS);
}

#[test]
fn shared_parts_are_saved_once_and_then_fetched_from_the_store() {
    let mut world = World::new(&["a", "b"]);
    assert!(world.choose(&prompt("s,x,1")).unwrap().save_to.is_some());
    world.hold(&store_holder_name(store()), &prompt("s,x,1"), 2);
    let placement = world.choose(&prompt("s,x,2")).unwrap();
    assert_eq!(placement.save_to, None);
    let fetch = placement.fetch.unwrap();
    assert_eq!(fetch.holder, KvHolder::Store);
    assert_eq!(fetch.address, store());
}

#[test]
fn engine_that_should_hold_a_stored_part_is_given_the_store_as_well() {
    let mut world = World::new(&["a"]);
    world.hold(&BackEndName::new("a"), &prompt("s,x,1"), 2);
    world.hold(&store_holder_name(store()), &prompt("s,x,1"), 2);
    let placement = world.choose(&prompt("s,x,2")).unwrap();
    assert_eq!(placement.cached_tokens, 2 * PART_TOKENS);
    assert_eq!(placement.fetch.unwrap().holder, KvHolder::Store);
}

#[test]
fn isolated_tenant_shares_no_part_with_others() {
    let mut world = World::new(&["a", "b"]);
    world.hold(&BackEndName::new("a"), &prompt("s,x,1"), 2);
    let shared = world.choose(&prompt("s,x,2")).unwrap();
    world.cache_scope = CacheScope::Tenant(TenantName::new("walled"));
    let isolated = world.choose(&prompt("s,x,2")).unwrap();
    assert_ne!(shared.salt, isolated.salt);
    assert_eq!(isolated.cached_tokens, 0);
    // Only the store is asked, under the tenant's own salt.
    assert!(
        isolated
            .fetch
            .is_none_or(|fetch| fetch.holder == KvHolder::Store)
    );
}

#[test]
fn cache_of_older_weights_counts_for_nothing() {
    let mut world = World::new(&["a", "b"]);
    let holder = BackEndName::new("a");
    world.hold(&holder, &prompt("s,x,1"), 2);
    world
        .engines
        .get_mut(&holder)
        .unwrap()
        .note_weights(MODEL, 2);
    let placement = world.choose(&prompt("s,x,2")).unwrap();
    assert!(placement.engine.as_str() == "b" || placement.cached_tokens == 0);
}

#[test]
fn engine_whose_weights_have_run_out_gets_no_request() {
    let mut world = World::new(&["a", "b"]);
    let now = world.now;
    world.deadlines.note(
        MODEL,
        2,
        PublicationTime::Seen(now.before(Duration::from_secs(8))),
    );
    assert!(world.choose(&prompt("s,x,1")).is_none());
    let newest = BackEndName::new("b");
    world
        .engines
        .get_mut(&newest)
        .unwrap()
        .note_weights(MODEL, 2);
    let placement = world.choose(&prompt("s,x,1")).unwrap();
    assert_eq!(placement.engine, newest);
    assert_eq!(placement.weights, Some(2));
}

#[test]
fn loading_and_failing_engines_are_passed_over() {
    let mut world = World::new(&["a", "b", "c"]);
    let until = world.now.after(Duration::from_secs(1));
    let loading = world.engines.get_mut(&BackEndName::new("a")).unwrap();
    loading.note_loading(MODEL, 2, until);
    let now = world.now;
    let failing = world.engines.get_mut(&BackEndName::new("b")).unwrap();
    failing.health.unreachable(now);
    assert_eq!(world.choose(&prompt("s,x,1")).unwrap().engine.as_str(), "c");
}

#[test]
fn failing_engine_is_better_than_none() {
    let mut world = World::new(&["a"]);
    let now = world.now;
    let failing = world.engines.get_mut(&BackEndName::new("a")).unwrap();
    failing.health.unreachable(now);
    assert!(world.choose(&prompt("s,x,1")).is_some());
}

#[test]
fn store_that_does_not_answer_is_neither_asked_nor_saved_to() {
    let mut world = World::new(&["a", "b"]);
    world.hold(&store_holder_name(store()), &prompt("s,x,1"), 2);
    world.kv_stores.note(store(), KvStoreState::Down);
    let stored = world.choose(&prompt("s,x,2")).unwrap();
    assert_eq!(stored.fetch, None);
    assert!(world.choose(&prompt("s,y,1")).unwrap().save_to.is_none());
}

#[test]
fn engine_is_avoided_for_longer_after_each_refusal_in_a_row() {
    let mut world = World::new(&["a"]);
    let now = world.now;
    let name = BackEndName::new("a");
    let engine = world.engines.get_mut(&name).unwrap();
    let mut avoided = Vec::new();
    for _ in 0..6 {
        engine.note_full(now);
        let until = engine.full_until.unwrap();
        avoided.push(until.since(now).as_millis());
    }
    assert_eq!(avoided, [150, 300, 600, 1_200, 1_200, 1_200]);
    engine.note_accepted();
    engine.note_full(now);
    assert_eq!(engine.full_until.unwrap().since(now).as_millis(), 150);
    // Without another engine it is still asked.
    assert!(world.choose(&prompt("s,x,1")).is_some());
}

#[test]
fn engine_lends_nothing_that_it_held_under_other_weights() {
    let mut world = World::new(&["a", "b"]);
    world.hold(&BackEndName::new("a"), &prompt("s,x,1"), 2);
    world.busy("a");
    let lender = world.engines.get_mut(&BackEndName::new("a")).unwrap();
    lender.note_weights(MODEL, 2);
    let placement = world.choose(&prompt("s,x,2")).unwrap();
    assert_eq!(placement.weights, Some(1));
    // Only the store is asked, in case.
    assert_eq!(placement.fetch.unwrap().holder, KvHolder::Store);
}

#[test]
fn old_weights_are_left_as_long_before_their_end_as_requests_take_to_begin() {
    let mut world = World::new(&["a"]);
    let named = world.now.before(Duration::from_millis(6_000));
    world.deadlines.note(MODEL, 2, PublicationTime::Seen(named));
    assert!(world.choose(&prompt("s,x,1")).is_some());
    world.max_recent_start_delay = Duration::from_millis(1_100);
    assert!(world.choose(&prompt("s,x,1")).is_none());
}

#[test]
fn every_node_takes_the_same_of_several_stores_and_another_when_it_is_down() {
    let mut world = World::new(&["a", "b"]);
    let addresses = ["127.0.0.1:21", "127.0.0.1:22", "127.0.0.1:23"];
    world.table = model_table_with_stores(&addresses);
    let store_of = |world: &World, parts: &str| world.choose(&prompt(parts)).unwrap().save_to;
    let parts: Vec<_> = (0..60).map(|index| format!("s,x{index},1")).collect();
    let mut shares = BTreeMap::new();
    for parts in &parts {
        *shares.entry(store_of(&world, parts).unwrap()).or_insert(0) += 1;
    }
    assert!(
        shares.len() == 3 && shares.values().all(|share| *share > 8),
        "{shares:?}"
    );
    // Another own part of the prompt makes no difference.
    assert_eq!(store_of(&world, "s,x1,1"), store_of(&world, "s,x1,2"));
    let down = store_of(&world, "s,x1,1").unwrap();
    world.kv_stores.note(down, KvStoreState::Down);
    let other = store_of(&world, "s,x1,1").unwrap();
    assert_ne!(other, down);
    for parts in &parts {
        assert_ne!(store_of(&world, parts), Some(down));
    }
}

#[test]
fn many_nodes_with_the_same_old_picture_do_not_all_take_the_idle_engine() {
    let names: Vec<String> = (0..30).map(|index| format!("e{index:02}")).collect();
    let mut world = World::new(&names.iter().map(String::as_str).collect::<Vec<_>>());
    for name in &names[1..] {
        let engine = world.engines.get_mut(&BackEndName::new(name)).unwrap();
        engine.foreign_load.requests = 2;
    }
    let share = |world: &World| {
        let ids = (0..300).map(|index| format!("request-{index}"));
        // Short prompts: no part is worth keeping.
        let chosen = ids.map(|id| world.choose_as(&id, &short_prompt()).unwrap().engine);
        chosen.filter(|engine| engine.as_str() == "e00").count()
    };
    assert_eq!(share(&world), 300);
    world.is_large = true;
    let share = share(&world);
    assert!((10..=90).contains(&share), "{share} of 300");
}

#[test]
fn engine_that_holds_the_prefix_is_compared_whatever_the_draw() {
    let names: Vec<String> = (0..30).map(|index| format!("e{index:02}")).collect();
    let mut world = World::new(&names.iter().map(String::as_str).collect::<Vec<_>>());
    world.is_large = true;
    world.hold(&BackEndName::new("e17"), &prompt("s,x,1"), 2);
    for index in 0..40 {
        let id = format!("request-{index}");
        let placement = world.choose_as(&id, &prompt("s,x,2")).unwrap();
        assert_eq!(placement.engine.as_str(), "e17");
    }
}

#[test]
fn all_engines_are_compared_when_the_drawn_ones_are_poor() {
    let names: Vec<String> = (0..30).map(|index| format!("e{index:02}")).collect();
    let mut world = World::new(&names.iter().map(String::as_str).collect::<Vec<_>>());
    world.is_large = true;
    let now = world.now;
    for name in &names[1..] {
        world
            .engines
            .get_mut(&BackEndName::new(name))
            .unwrap()
            .note_full(now);
    }
    for index in 0..40 {
        let id = format!("request-{index}");
        let placement = world.choose_as(&id, &short_prompt()).unwrap();
        assert_eq!(placement.engine.as_str(), "e00");
    }
}

/// `a` has version 2, `b` version 1; version 2 was named `ago` before now.
fn world_with_replaced_weights(ago: Duration) -> World {
    let mut world = World::new(&["a", "b"]);
    world
        .engines
        .get_mut(&BackEndName::new("a"))
        .unwrap()
        .note_weights(MODEL, 2);
    let named_at = world.now.before(ago);
    world
        .deadlines
        .note(MODEL, 2, PublicationTime::Seen(named_at));
    world
}

/// Engines that serve the shared parts `s,0` to `s,19`.
fn engines_of_many_prompts(world: &World) -> Vec<String> {
    let choose = |index: u32| world.choose(&prompt(&format!("s,{index},1"))).unwrap();
    (0..20)
        .map(|index| choose(index).engine.to_string())
        .collect()
}

#[test]
fn requests_gather_at_engines_with_the_newest_weights() {
    let engines = engines_of_many_prompts(&world_with_replaced_weights(Duration::from_secs(2)));
    assert!(engines.iter().all(|engine| engine == "a"), "{engines:?}");
}

#[test]
fn replaced_weights_cost_nothing_at_first() {
    let engines = engines_of_many_prompts(&world_with_replaced_weights(Duration::from_secs(1)));
    assert!(engines.iter().any(|engine| engine == "b"), "{engines:?}");
}

#[test]
fn replaced_weights_are_better_than_a_late_answer() {
    let mut world = world_with_replaced_weights(Duration::from_secs(2));
    world.busy("a");
    let engines = engines_of_many_prompts(&world);
    assert!(engines.iter().all(|engine| engine == "b"), "{engines:?}");
}

/// A prompt whose shared parts are too small to be saved or told of.
fn small_prompt(part: u32) -> Prompt {
    let part = PromptPart {
        id: format!("small-{part}"),
        tokens: 150,
    };
    let own = PromptPart {
        id: "own".to_owned(),
        tokens: 300,
    };
    Prompt {
        parts: vec![part, own],
        prompt_tokens: 450,
        ..prompt("own")
    }
}

#[test]
fn small_parts_are_read_once_in_each_zone() {
    let mut world = World::new(&["a", "b", "c", "d"]);
    for name in ["c", "d"] {
        let engine = world.engines.get_mut(&BackEndName::new(name)).unwrap();
        engine.entry.zone = ZoneName::new("zone-b");
    }
    for part in 0..20 {
        let prompt = small_prompt(part);
        let first = world.choose_as("r1", &prompt).unwrap().engine;
        assert!(["a", "b"].contains(&first.as_str()), "{first} is far");
        // Some work there does not send the next request elsewhere.
        let engine = world.engines.get_mut(&first).unwrap();
        engine.foreign_load.requests = 4;
        assert_eq!(world.choose_as("r2", &prompt).unwrap().engine, first);
        let engine = world.engines.get_mut(&first).unwrap();
        engine.foreign_load.requests = 0;
    }
}

#[test]
fn cache_is_not_fetched_for_a_little_less_work() {
    let mut world = World::new(&["a", "b"]);
    let prompt = prompt("s,x,2");
    world.hold(&BackEndName::new("a"), &prompt, 2);
    let holder = world.engines.get_mut(&BackEndName::new("a")).unwrap();
    holder.foreign_load.requests = 6;
    // What comes in to `b` would drive out as much that is held there.
    assert_eq!(world.choose(&prompt).unwrap().engine.as_str(), "a");
}

/// What a limited engine does not take would fill the queues of the others.
#[test]
fn engine_without_room_is_passed_over_while_another_is_limited() {
    let mut world = World::new(&["a", "b"]);
    let full = EngineLoad {
        requests: 32,
        ..EngineLoad::default()
    };
    let now = world.now;
    let free = world.engines.get_mut(&BackEndName::new("a")).unwrap();
    free.foreign_load = full;
    assert!(world.choose(&short_prompt()).is_some());
    let limited = world.engines.get_mut(&BackEndName::new("b")).unwrap();
    let signal = Signal {
        rate_limit: Some(1.0),
        ..Signal::default()
    };
    limited.condition.apply_signal(&signal, now, now);
    assert_eq!(world.choose(&short_prompt()), None);
    let free = world.engines.get_mut(&BackEndName::new("a")).unwrap();
    free.foreign_load = EngineLoad::default();
    let placement = world.choose(&short_prompt()).expect("there is room");
    assert_eq!(placement.engine, BackEndName::new("a"));
}

/// Other nodes have measured a delay of the store for some seconds.
fn note_store_delay(world: &mut World, delay_ms: f64, seconds: u64) {
    let estimate = DelayEstimate {
        delay_ms,
        weight: 50.0,
        log_ratio: (delay_ms / 100.0).ln_1p(),
        spread: 1.0,
    };
    let reports = [SourceDelayUpdate::new(store(), estimate)];
    for tenth in 0..10 * seconds {
        let now = world.now.after(Duration::from_millis(100 * tenth));
        let delays = world.kv_stores.delays_mut();
        delays.refresh([store()], &reports, now);
    }
}

/// Sources of the fetches of a hundred requests with a prompt.
fn fetches(world: &World, prompt: &Prompt) -> BTreeMap<Option<String>, usize> {
    let mut sources = BTreeMap::new();
    for index in 0..100 {
        let placement = world.choose_as(&format!("r{index}"), prompt).unwrap();
        let source = placement.fetch.map(|fetch| fetch.holder.to_string());
        *sources.entry(source).or_insert(0) += 1;
    }
    sources
}

/// Only a few requests fetch from the store, to see when it is quick again.
fn assert_store_is_avoided(sources: &BTreeMap<Option<String>, usize>, instead: Option<&str>) {
    let from_store = sources.get(&Some("store".to_owned())).copied();
    let from_store = from_store.unwrap_or_default();
    assert!((1..=25).contains(&from_store), "{sources:?}");
    let others = sources.get(&instead.map(str::to_owned)).copied();
    assert_eq!(others, Some(100 - from_store), "{sources:?}");
}

#[test]
fn short_part_is_read_again_while_the_store_is_slow() {
    let mut world = World::new(&["a"]);
    let prompt = prompt("s,x,1");
    world.hold(&store_holder_name(store()), &prompt, 1);
    let usual = fetches(&world, &prompt);
    assert_eq!(usual, BTreeMap::from([(Some("store".to_owned()), 100)]));
    note_store_delay(&mut world, 700.0, 5);
    assert_store_is_avoided(&fetches(&world, &prompt), None);
    note_store_delay(&mut world, 0.0, 10);
    assert_eq!(fetches(&world, &prompt), usual);
}

#[test]
fn part_that_an_engine_should_hold_is_not_asked_of_a_slow_store() {
    let mut world = World::new(&["a"]);
    let prompt = prompt("s,x,1");
    world.hold(&BackEndName::new("a"), &prompt, 2);
    world.hold(&store_holder_name(store()), &prompt, 2);
    let usual = fetches(&world, &prompt);
    assert_eq!(usual, BTreeMap::from([(Some("store".to_owned()), 100)]));
    note_store_delay(&mut world, 700.0, 5);
    assert_store_is_avoided(&fetches(&world, &prompt), None);
}

#[test]
fn engine_that_holds_the_part_lends_it_while_the_store_is_slow() {
    let mut world = World::new(&["a", "b"]);
    let prompt = prompt("s,x,1");
    world.hold(&BackEndName::new("a"), &prompt, 2);
    world.hold(&store_holder_name(store()), &prompt, 2);
    // The engine has used the part too long ago to be preferred to a quick store.
    world.now = world.now.after(Duration::from_secs(5));
    world.busy("a");
    let usual = fetches(&world, &prompt);
    assert_eq!(usual, BTreeMap::from([(Some("store".to_owned()), 100)]));
    note_store_delay(&mut world, 700.0, 5);
    assert_store_is_avoided(&fetches(&world, &prompt), Some("a"));
}

#[test]
fn long_part_is_worth_the_wait_for_a_store_with_a_shorter_delay() {
    let mut world = World::new(&["a"]);
    let prompt = Prompt {
        parts: [("s", 30_000), ("1", 300)]
            .map(|(id, tokens)| PromptPart {
                id: id.to_owned(),
                tokens,
            })
            .to_vec(),
        prompt_tokens: 30_300,
        ..prompt("own")
    };
    world.hold(&store_holder_name(store()), &prompt, 1);
    note_store_delay(&mut world, 300.0, 5);
    let usual = BTreeMap::from([(Some("store".to_owned()), 100)]);
    assert_eq!(fetches(&world, &prompt), usual);
}

#[test]
fn nothing_is_saved_to_a_slow_store() {
    let mut world = World::new(&["a", "b"]);
    let saved = |world: &World| {
        let ids = (0..100).map(|index| format!("r{index}"));
        let placed = ids.map(|id| world.choose_as(&id, &prompt("s,x,1")).unwrap());
        placed.filter(|placed| placed.save_to.is_some()).count()
    };
    assert_eq!(saved(&world), 100);
    note_store_delay(&mut world, 700.0, 5);
    assert!((1..=25).contains(&saved(&world)));
    note_store_delay(&mut world, 0.0, 10);
    assert_eq!(saved(&world), 100);
}
