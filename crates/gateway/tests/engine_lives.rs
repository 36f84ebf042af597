//! Engines that begin again under their names: nothing of the life before counts for the new one.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::{
    EngineEntry, EngineLoad, EngineState, EngineTable, InFlight, IncarnationOrder,
};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::{
    EngineIncarnationUpdate, EngineLoadUpdate, HolderUpdate, PeerMessage, WeightsUpdate,
};
use ryerouter_gateway::placement::{
    CacheChanges, CacheFeed, CandidateCost, Cursor, PartKey, Placement, PromptKeys, watch_caches,
};
use ryerouter_gateway::rollout::{
    EngineReport, OrderOutcome, PublicationTime, RolloutAction, RolloutPlanner, RolloutSettings,
    WeightsDeadlines,
};
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind};
use support::fleet::{node, two_zones, zone_of_many};
use support::gateway_bench::{GatewayBench, gateway, list_engines, run, run_paused};
use support::records::{FAILURES_OF_TROUBLE, engine, route, table};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::{ID, MODEL, NOT_EXECUTED};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use yare::parameterized;

const ENGINE: &str = "e1";
const PART: PartKey = PartKey(7);
const FIRST: u64 = 1_000;
const SECOND: u64 = 2_000;
/// Longer than news of a life before are expected, and than a life is named.
const LONG_AFTER: Duration = Duration::from_secs(16);
/// A connection that is not closed for so long is kept.
const KEPT: Duration = Duration::from_millis(300);

fn name() -> BackEndName {
    BackEndName::new(ENGINE)
}

fn life(incarnation: u64) -> EngineEntry {
    life_at("127.0.0.1:1".parse().unwrap(), incarnation)
}

fn life_at(address: SocketAddr, incarnation: u64) -> EngineEntry {
    let mut entry = engine(ENGINE, address, 1);
    entry.incarnation = Some(Incarnation(incarnation));
    entry
}

fn change(gateway: &Gateway, change: ItemChange) {
    let now = gateway.clock().now();
    gateway.apply_changes(ItemKind::Engines, vec![change], now);
}

fn list_life(gateway: &Gateway, incarnation: u64) {
    change(
        gateway,
        ItemChange::Present(Item::Engine(life(incarnation))),
    );
}

fn known_life(gateway: &Gateway) -> Option<u64> {
    gateway.incarnation_of(&name()).map(|life| life.0)
}

fn holds(gateway: &Gateway) -> bool {
    gateway.state().holders.of(PART).next().is_some()
}

fn one_request() -> EngineLoad {
    EngineLoad {
        requests: 1,
        unread_tokens: 100,
        kv_tokens: 100,
    }
}

fn loaded() -> WeightsUpdate {
    WeightsUpdate {
        engine: name(),
        model: MODEL.to_owned(),
        version: 5,
        loading_ms: None,
    }
}

fn weights(gateway: &Gateway) -> Option<u64> {
    let state = gateway.state();
    state.engines.get(&name())?.weights_of(MODEL)
}

fn load(gateway: &Gateway) -> EngineLoad {
    let state = gateway.state();
    state.engines.get(&name()).expect("engine").load()
}

#[test]
fn nothing_of_the_life_before_is_left() {
    run(async {
        let gateway = gateway("node-1");
        list_engines(&gateway, vec![life(FIRST)]);
        gateway.note_weights(&name(), MODEL, 4);
        gateway.note_loading(&name(), MODEL, 5, Duration::from_secs(60));
        let now = gateway.clock().now();
        let mut state = gateway.state_mut();
        state.holders.note(PART, &name(), now);
        state.holder_updates.push(HolderUpdate(PART, name()));
        state.drop_updates.push(HolderUpdate(PART, name()));
        let engine = state.engines.get_mut(&name()).unwrap();
        engine.note_full(now);
        engine.note_answer_to(now);
        engine.health.unreachable(now);
        let until = now.after(Duration::from_secs(60));
        engine.note_misdirected(None, until);
        assert!(!engine.health.is_serving());
        drop(state);
        list_life(&gateway, SECOND);
        assert!(!holds(&gateway));
        assert_eq!(weights(&gateway), Some(1), "those of its entry");
        let state = gateway.state();
        let engine = state.engines.get(&name()).unwrap();
        assert!(engine.takes_work(now) && engine.health.is_serving());
        assert_eq!(engine.full_until, None);
        assert!(!engine.has_answered_request_sent_after(Timestamp::ZERO));
        assert!(state.holder_updates.is_empty() && state.drop_updates.is_empty());
        assert!(state.weights_updates.is_empty() && state.loading_updates.is_empty());
    });
}

#[test]
fn requests_of_the_life_before_count_there_alone() {
    let mut table = EngineTable::default();
    table.upsert(life(FIRST));
    let counter = |table: &EngineTable| Rc::clone(&table.get(&name()).unwrap().own_load);
    let former = InFlight::new(counter(&table), one_request());
    table.upsert(life(SECOND));
    assert_eq!(table.get(&name()).unwrap().load(), EngineLoad::default());
    let running = InFlight::new(counter(&table), one_request());
    drop(former);
    assert_eq!(table.get(&name()).unwrap().load(), one_request());
    drop(running);
    assert_eq!(table.get(&name()).unwrap().load(), EngineLoad::default());
}

#[parameterized(
    watch_of_the_source = { false },
    list_of_the_source = { true },
)]
fn entry_of_a_life_before_changes_nothing(is_list: bool) {
    run(async {
        let gateway = gateway("node-1");
        list_engines(&gateway, vec![life(SECOND)]);
        gateway
            .state_mut()
            .holders
            .note(PART, &name(), gateway.clock().now());
        let mut former = life(FIRST);
        former.state = EngineState::Draining;
        match is_list {
            true => list_engines(&gateway, vec![former]),
            false => change(&gateway, ItemChange::Present(Item::Engine(former))),
        }
        assert_eq!(known_life(&gateway), Some(SECOND));
        assert!(holds(&gateway));
        let state = gateway.state();
        let known = state.engines.get(&name()).unwrap();
        assert_eq!(known.entry.state, EngineState::Ready);
    });
}

/// As when a node hands on a list or a change that does not name lives.
#[test]
fn entry_that_tells_no_life_is_of_the_one_that_is_known() {
    run(async {
        let gateway = gateway("node-1");
        list_engines(&gateway, vec![life(FIRST)]);
        gateway
            .state_mut()
            .holders
            .note(PART, &name(), gateway.clock().now());
        let mut silent = life(FIRST);
        silent.incarnation = None;
        change(&gateway, ItemChange::Present(Item::Engine(silent)));
        assert!(holds(&gateway));
        assert_eq!(known_life(&gateway), Some(FIRST));
    });
}

#[test]
fn entry_that_went_and_comes_back_in_a_new_life_brings_nothing_with_it() {
    run(async {
        let gateway = gateway("node-1");
        list_engines(&gateway, vec![life(FIRST)]);
        change(&gateway, ItemChange::Gone(ENGINE.to_owned()));
        // Another node, which has not heard of it yet, still tells what the engine held.
        gateway
            .state_mut()
            .holders
            .note(PART, &name(), gateway.clock().now());
        list_life(&gateway, SECOND);
        assert!(!holds(&gateway));
        change(&gateway, ItemChange::Gone(ENGINE.to_owned()));
        list_life(&gateway, FIRST);
        assert_eq!(known_life(&gateway), None, "a late list");
    });
}

/// A message of another node that tells of an engine all that messages tell.
fn message(from: &Gateway, lives: &[u64]) -> PeerMessage {
    let lives = lives.iter();
    PeerMessage {
        lives: lives
            .map(|life| EngineIncarnationUpdate(name(), Incarnation(*life)))
            .collect(),
        loads: vec![EngineLoadUpdate(name(), one_request())],
        holders: vec![HolderUpdate(PART, name())],
        weights: vec![loaded()],
        ..from.peer_message(true)
    }
}

fn is_told(gateway: &Gateway) -> bool {
    let told = [
        holds(gateway),
        weights(gateway) == Some(5),
        load(gateway) == one_request(),
    ];
    assert!(told.iter().all(|one| *one == told[0]), "{told:?}");
    told[0]
}

#[parameterized(
    without_a_life = { &[], Duration::ZERO, false },
    of_the_life_before = { &[FIRST], Duration::ZERO, false },
    of_this_life = { &[SECOND], Duration::ZERO, true },
    of_a_life_to_come = { &[3_000], Duration::ZERO, false },
    without_a_life_long_after = { &[], LONG_AFTER, true },
    of_the_life_before_long_after = { &[FIRST], LONG_AFTER, false },
)]
fn news_of_another_node_count_for_their_life(lives: &[u64], after: Duration, expected: bool) {
    run_paused(async {
        let nodes = [node(0), node(1)];
        list_life(&nodes[0], FIRST);
        list_life(&nodes[0], SECOND);
        sleep(after).await;
        nodes[0].receive_peer_message(message(&nodes[1], lives));
        assert_eq!(is_told(&nodes[0]), expected);
    });
}

#[test]
fn part_that_the_life_before_dropped_is_still_held() {
    run(async {
        let nodes = [node(0), node(1)];
        list_life(&nodes[0], FIRST);
        list_life(&nodes[0], SECOND);
        nodes[0]
            .state_mut()
            .holders
            .note(PART, &name(), nodes[0].clock().now());
        nodes[0].receive_peer_message(PeerMessage {
            dropped: vec![HolderUpdate(PART, name())],
            ..nodes[1].peer_message(true)
        });
        assert!(holds(&nodes[0]));
    });
}

#[test]
fn work_that_was_told_of_the_life_before_is_forgotten_with_it() {
    run(async {
        let nodes = [node(0), node(1), node(2)];
        list_life(&nodes[0], FIRST);
        nodes[0].receive_peer_message(message(&nodes[1], &[]));
        assert_eq!(load(&nodes[0]), one_request());
        list_life(&nodes[0], SECOND);
        // The sums are made anew with each message of any node.
        nodes[0].receive_peer_message(nodes[2].peer_message(true));
        assert_eq!(load(&nodes[0]), EngineLoad::default());
    });
}

#[test]
fn life_is_named_while_others_may_take_news_for_those_of_the_one_before() {
    run_paused(async {
        let gateway = node(0);
        list_life(&gateway, FIRST);
        let counter = || Rc::clone(&gateway.state().engines.get(&name()).unwrap().own_load);
        let running = InFlight::new(counter(), one_request());
        assert_eq!(
            gateway.peer_message(false).lives,
            [],
            "it has not begun again"
        );
        drop(running);
        list_life(&gateway, SECOND);
        assert_eq!(
            gateway.peer_message(false).lives,
            [],
            "nothing is told of it"
        );
        let _running = InFlight::new(counter(), one_request());
        let expected = [EngineIncarnationUpdate(name(), Incarnation(SECOND))];
        assert_eq!(gateway.peer_message(false).lives, expected);
        let message = serde_json::to_string(&gateway.peer_message(false)).unwrap();
        assert!(message.contains(r#""i":[["e1",2000]]"#), "{message}");
        sleep(LONG_AFTER).await;
        assert_eq!(gateway.peer_message(false).lives, []);
    });
}

fn begin_again(nodes: &[Rc<Gateway>]) {
    for node in nodes {
        list_life(node, FIRST);
        list_life(node, SECOND);
    }
}

#[parameterized(
    known_to_the_sender = { true },
    not_known_yet = { false },
)]
fn news_between_zones_count_for_their_life(is_known: bool) {
    run(async {
        let nodes = two_zones();
        begin_again(&nodes[6..]);
        match is_known {
            true => begin_again(&nodes[..1]),
            false => list_life(&nodes[0], FIRST),
        }
        nodes[0]
            .state_mut()
            .zone_updates
            .push(HolderUpdate(PART, name()));
        let counter = Rc::clone(&nodes[0].state().engines.get(&name()).unwrap().own_load);
        let _running = InFlight::new(counter, one_request());
        let (news, _) = nodes[0].next_zone_update(true).unwrap();
        nodes[6].receive_zone_update(&news);
        nodes[6].refresh_foreign_loads();
        assert_eq!(holds(&nodes[6]), is_known);
        assert_eq!(load(&nodes[6]) == one_request(), is_known);
        nodes[0].note_loaded(&name(), MODEL, 5, Duration::ZERO);
        for (news, _) in nodes[0].next_urgent_updates() {
            nodes[6].receive_zone_update(&news);
        }
        assert_eq!(weights(&nodes[6]) == Some(5), is_known);
    });
}

#[test]
fn change_of_the_life_before_that_a_reader_hands_on_changes_nothing() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        let batch = ItemBatch {
            changes: vec![ItemChange::Present(Item::Engine(life(FIRST)))],
            revision: 101.into(),
            is_whole: true,
        };
        reader.apply_batch(ItemKind::Engines, batch, Some(reader.clock().now()));
        list_life(other, SECOND);
        let (_, question) = other.next_question().unwrap();
        other.apply_answer(reader.answer_question(&question));
        assert_eq!(known_life(other), Some(SECOND));
    });
}

fn placement(incarnation: u64) -> Placement {
    Placement {
        engine: name(),
        incarnation: Some(Incarnation(incarnation)),
        software: String::new(),
        address: "127.0.0.1:1".parse().unwrap(),
        weights: Some(1),
        salt: None,
        keys: PromptKeys(vec![(PART, 900), (PartKey(8), 1_000)]),
        cached_tokens: 0,
        unread_tokens: 900,
        fetch: None,
        save_to: None,
        cost: CandidateCost::default(),
    }
}

#[parameterized(
    of_the_life_before = { FIRST, false },
    of_this_life = { SECOND, true },
)]
fn prompt_that_was_read_is_held_in_its_life(read_in: u64, expected: bool) {
    run(async {
        let gateway = gateway("node-1");
        list_engines(&gateway, vec![life(SECOND)]);
        gateway.note_prefill_done(&placement(read_in));
        assert_eq!(holds(&gateway), expected);
    });
}

#[parameterized(
    begins_again = { SECOND, false },
    goes_on = { FIRST, true },
)]
fn answer_to_a_request_of_the_life_before_is_none_of_the_new_one(then: u64, expected: bool) {
    run(async {
        let (scripted, address) =
            ScriptedEngine::start([Step::Late(Duration::from_millis(100))]).await;
        let entries = vec![life_at(address, FIRST)];
        let routes = vec![route(RequestKind::Unsafe)];
        let bench = GatewayBench::start(Some(table(1, routes)), entries).await;
        let gateway = Rc::clone(&bench.gateway);
        let calling = spawn_local(async move { bench.call("GET", &[(ID, "a")], "").await });
        scripted.until_arrived(1).await;
        let next = Item::Engine(life_at(address, then));
        change(&gateway, ItemChange::Present(next));
        let answer = calling.await.unwrap();
        assert_eq!(answer.status, 200);
        let state = gateway.state();
        let known = state.engines.get(&name()).unwrap();
        let has_answered = known.has_answered_request_sent_after(Timestamp::ZERO);
        assert_eq!(has_answered, expected);
        assert_eq!(known.load(), EngineLoad::default());
    });
}

/// Takes one request, refuses it once it is told to, and tells whether the connection is closed then.
async fn closes_after_refusal(
    listener: TcpListener,
    arrived: Rc<Notify>,
    told: Rc<Notify>,
) -> bool {
    let (mut stream, _) = listener.accept().await.expect("connection");
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.expect("request"));
    }
    arrived.notify_one();
    told.notified().await;
    let refusal = format!(
        "HTTP/1.1 503 Full\r\n{ID}: a\r\nx-signed: 1\r\n{NOT_EXECUTED}: 1\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(refusal.as_bytes()).await.expect("write");
    let closed = timeout(KEPT, stream.read(&mut [0; 1])).await;
    matches!(closed, Ok(Ok(0)))
}

#[parameterized(
    begins_again = { SECOND, true },
    goes_on = { FIRST, false },
)]
fn connection_of_a_refusal_is_kept_in_its_life_only(then: u64, expected: bool) {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let entries = vec![life_at(address, FIRST)];
        let routes = vec![route(RequestKind::Unsafe)];
        let bench = GatewayBench::start(Some(table(1, routes)), entries).await;
        let gateway = Rc::clone(&bench.gateway);
        let [arrived, told] = [0; 2].map(|_| Rc::new(Notify::new()));
        let engine = closes_after_refusal(listener, Rc::clone(&arrived), Rc::clone(&told));
        let engine = spawn_local(engine);
        let calling = spawn_local(async move { bench.call("GET", &[(ID, "a")], "").await });
        arrived.notified().await;
        // At an address where nothing listens: the refused request goes nowhere else.
        change(&gateway, ItemChange::Present(Item::Engine(life(then))));
        told.notify_one();
        assert_eq!(calling.await.unwrap().status, 503);
        assert_eq!(engine.await.unwrap(), expected);
    });
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Version 2 was named so long ago that its rollout is due.
fn due() -> WeightsDeadlines {
    let mut deadlines = WeightsDeadlines::new(Duration::from_secs(7));
    let named = at(0).before(Duration::from_secs(5));
    deadlines.note(MODEL, 2, PublicationTime::Seen(named));
    deadlines
}

fn report(weights: u64, taken: u64, incarnation: u64) -> EngineReport {
    EngineReport {
        weights: [(MODEL.to_owned(), weights)].into(),
        is_busy: false,
        orders_taken: taken,
        incarnation: Some(Incarnation(incarnation)),
    }
}

fn is_order(action: &RolloutAction) -> bool {
    matches!(action, RolloutAction::Order(_))
}

#[test]
fn engine_that_begins_again_is_asked_anew_before_it_is_ordered() {
    let mut table = EngineTable::default();
    table.upsert(life(FIRST));
    let deadlines = due();
    let mut planner = RolloutPlanner::new(RolloutSettings::default());
    let advance = |planner: &mut RolloutPlanner, table: &EngineTable, millis| {
        let mut actions = Vec::new();
        planner.advance(table, &deadlines, at(millis), &mut actions);
        actions
    };
    assert_eq!(
        advance(&mut planner, &table, 0),
        [RolloutAction::Ask(name())]
    );
    let told = report(1, 6, FIRST);
    planner.reported(&name(), Some(&told), at(10), &mut Vec::new());
    // Its order is due, with the count of the life before.
    table.upsert(life(SECOND));
    let then = advance(&mut planner, &table, 20);
    assert_eq!(then, [RolloutAction::Ask(name())]);
    let told = report(1, 0, SECOND);
    planner.reported(&name(), Some(&told), at(30), &mut Vec::new());
    let then = advance(&mut planner, &table, 40);
    let order = then.iter().find(|action| is_order(action));
    let Some(RolloutAction::Order(order)) = order else {
        panic!("not ordered: {then:?}");
    };
    assert_eq!(order.expected_orders, 0);
}

#[test]
fn engine_that_begins_again_is_not_asked_how_its_former_order_ends() {
    let mut table = EngineTable::default();
    table.upsert(life(FIRST));
    let deadlines = due();
    let mut planner = RolloutPlanner::new(RolloutSettings::default());
    planner.advance(&table, &deadlines, at(0), &mut Vec::new());
    let told = report(1, 0, FIRST);
    planner.reported(&name(), Some(&told), at(10), &mut Vec::new());
    planner.advance(&table, &deadlines, at(20), &mut Vec::new());
    planner.ordered(&name(), OrderOutcome::Accepted, at(30), &mut Vec::new());
    planner.reset();
    planner.forget_other_lives(&name(), Some(Incarnation(SECOND)));
    let mut actions = Vec::new();
    planner.observe(at(60), &mut actions);
    assert_eq!(actions, []);
}

#[parameterized(
    of_the_life_before = { FIRST, IncarnationOrder::Older, SECOND, 1 },
    of_this_life = { SECOND, IncarnationOrder::Same, SECOND, 1 },
    of_a_newer_life = { 3_000, IncarnationOrder::Newer, 3_000, 2 },
)]
fn report_of_a_newer_life_is_news_of_it(of: u64, expected: IncarnationOrder, known: u64, has: u64) {
    run(async {
        let gateway = gateway("node-1");
        list_engines(&gateway, vec![life(SECOND)]);
        gateway
            .state_mut()
            .holders
            .note(PART, &name(), gateway.clock().now());
        let told = gateway.apply_report_incarnation(&name(), &report(2, 0, of));
        assert_eq!(told, expected);
        assert_eq!(known_life(&gateway), Some(known));
        assert_eq!(weights(&gateway), Some(has));
        assert_eq!(holds(&gateway), known == SECOND);
    });
}

/// It lives, but the source may have lost its entry for good.
#[test]
fn engine_without_an_entry_that_reports_a_new_life_is_still_waited_for_only() {
    run_paused(async {
        let gateway = gateway("node-1");
        list_life(&gateway, FIRST);
        gateway.note_source_disruption(ItemKind::Engines, FAILURES_OF_TROUBLE);
        change(&gateway, ItemChange::Gone(ENGINE.to_owned()));
        assert_eq!(known_life(&gateway), Some(FIRST), "it may come back");
        gateway.apply_report_incarnation(&name(), &report(2, 0, SECOND));
        assert_eq!(known_life(&gateway), Some(SECOND));
        sleep(LONG_AFTER).await;
        gateway.remove_unlisted();
        assert_eq!(known_life(&gateway), None);
    });
}

/// Remembers from where it was asked to go on.
#[derive(Default)]
struct AskedFeed {
    asked: RefCell<Vec<Option<Cursor>>>,
}

impl CacheFeed for AskedFeed {
    fn changes(
        &self,
        _engine: BackEndName,
        _address: SocketAddr,
        since: Option<Cursor>,
    ) -> LocalBoxFuture<'_, Option<CacheChanges>> {
        self.asked.borrow_mut().push(since);
        let told = CacheChanges {
            next: since.unwrap_or_default() + 10,
            ..CacheChanges::default()
        };
        async move { Some(told) }.boxed_local()
    }
}

#[test]
fn events_of_a_cache_are_followed_from_the_beginning_of_each_life() {
    run_paused(async {
        let gateway = node(0);
        list_life(&gateway, FIRST);
        let feed = Rc::new(AskedFeed::default());
        let following = spawn_local(watch_caches(Rc::clone(&gateway), feed.clone()));
        sleep(Duration::from_millis(500)).await;
        list_life(&gateway, SECOND);
        sleep(Duration::from_millis(900)).await;
        following.abort();
        assert_eq!(feed.asked.borrow()[..4], [None, Some(10), None, Some(10)]);
    });
}
