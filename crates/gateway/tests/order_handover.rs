//! Handing the lease of orders to a node that reaches more engines, on a virtual clock; see
//! docs/design/orders.md.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, NodeName};
use ryerouter_gateway::peers::{PeerMessage, ReachQuestion};
use support::fleet::node;
use support::gateway_bench::run_paused;
use support::one_lease::SETTINGS;
use support::ordering_nodes::OrderingNodes;
use support::partly_reached_engines::PartlyReachedEngines;
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// Names decide among nodes that start together, so the first node takes the lease.
const FIRST: usize = 0;
const NODES: usize = 4;
const ENGINES: usize = 20;
/// Engines that one question asks for.
const QUESTIONED: usize = 16;
/// A new holder keeps the lease for so long at least.
const TENURE: Duration = Duration::from_secs(10);
/// Nodes of the largest deployment.
const LARGE: usize = 985;

/// Watches for so long that no two nodes hold the lease at once.
async fn watch(ordering: &OrderingNodes, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let holders = ordering.holders();
        assert!(holders.len() <= 1, "{holders:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Watches until a condition holds, which must be soon.
async fn watch_until(ordering: &OrderingNodes, is_reached: impl Fn() -> bool) {
    let latest = Instant::now() + Duration::from_secs(30);
    while !is_reached() {
        assert!(Instant::now() < latest, "not reached");
        watch(ordering, Duration::from_millis(20)).await;
    }
}

/// Each holder has a number of its own, and orders of two holders lie as far apart as they must.
/// Tells how long after the first order of each holder that of the next one came.
fn tenures(ordering: &OrderingNodes) -> Vec<Duration> {
    let orders = ordering.engines.orders.borrow();
    let mut began = orders[0].at;
    let mut tenures = Vec::new();
    for pair in orders.windows(2) {
        if pair[0].node == pair[1].node {
            assert_eq!(pair[0].fence, pair[1].fence);
            continue;
        }
        assert!(pair[0].fence < pair[1].fence, "{pair:?}");
        let gap = pair[1].at - pair[0].at;
        assert!(gap >= SETTINGS.release_margin, "{pair:?}");
        tenures.push(pair[1].at - began);
        began = pair[1].at;
    }
    tenures
}

#[test]
fn rollout_goes_on_when_the_holder_can_not_reach_engines_that_others_reach() {
    run_paused(async {
        // The first node reaches a fifth of the engines, all others reach all of them.
        let engines = PartlyReachedEngines::new(|node, engine| node != FIRST || engine % 5 == 0);
        let ordering = OrderingNodes::start(NODES, ENGINES, engines);
        watch(&ordering, Duration::from_secs(20)).await;
        assert_eq!(ordering.engines.loaded(), ENGINES);
        // What the first holder reached it has loaded before.
        let orders = ordering.engines.orders.borrow();
        let by_first = orders.iter().filter(|order| order.node == FIRST);
        assert_eq!(by_first.count(), ENGINES / 5);
        drop(orders);
        assert_eq!(ordering.engines.holders(), [FIRST, 1]);
        assert_eq!(tenures(&ordering).len(), 1);
    });
}

#[test]
fn node_that_reaches_most_takes_the_lease() {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|node, engine| match node {
            1 => engine < 4,
            2 => engine < 18,
            3 => engine < 8,
            _ => false,
        });
        let ordering = OrderingNodes::start(NODES, ENGINES, engines);
        watch(&ordering, Duration::from_secs(15)).await;
        assert_eq!(ordering.engines.holders(), [2]);
        assert_eq!(ordering.engines.loaded(), 18);
    });
}

#[test]
fn node_far_behind_in_order_is_asked_in_its_turn() {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|node, _| node == 8);
        let ordering = OrderingNodes::start(9, ENGINES, engines);
        watch(&ordering, Duration::from_secs(25)).await;
        assert_eq!(ordering.engines.holders(), [8]);
        assert_eq!(ordering.engines.loaded(), ENGINES);
    });
}

#[test]
fn rollout_goes_on_in_a_large_deployment() {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|node, _| node != FIRST);
        let ordering = OrderingNodes::start(14, ENGINES, engines);
        let is_large = |node: usize| ordering.nodes[node].state().peers.is_settled();
        assert!((0..14).all(is_large));
        watch(&ordering, Duration::from_secs(20)).await;
        assert_eq!(ordering.engines.loaded(), ENGINES);
        assert_eq!(ordering.engines.holders(), [1]);
        // Nobody else was set to ask.
        let asked = (0..14).filter(|node| ordering.engines.questions_of(*node) > 0);
        assert_eq!(asked.collect::<Vec<_>>(), [0, 1, 2, 3]);
    });
}

#[test]
fn nodes_that_each_reach_another_part_take_turns_but_not_often() {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|node, engine| engine % 3 == node);
        let ordering = OrderingNodes::start(3, ENGINES, engines);
        watch(&ordering, Duration::from_secs(60)).await;
        assert_eq!(ordering.engines.loaded(), ENGINES);
        let holders = ordering.engines.holders();
        assert_eq!(holders.len(), 3, "{holders:?}");
        let tenures = tenures(&ordering);
        assert!(tenures[1..].iter().all(|tenure| *tenure >= TENURE));
    });
}

#[test]
fn lease_comes_back_after_a_while_when_the_successor_loses_its_way_to_the_engines() {
    run_paused(async {
        let is_turned = Rc::new(Cell::new(false));
        let turned = Rc::clone(&is_turned);
        let engines = PartlyReachedEngines::new(move |node, _| (node == FIRST) == turned.get());
        let ordering = OrderingNodes::start(2, ENGINES, engines);
        watch_until(&ordering, || ordering.engines.loaded() >= 8).await;
        is_turned.set(true);
        watch(&ordering, Duration::from_secs(25)).await;
        assert_eq!(ordering.engines.holders(), [1, FIRST]);
        assert_eq!(ordering.engines.loaded(), ENGINES);
        assert!(tenures(&ordering)[0] >= TENURE);
    });
}

#[test]
fn holder_stays_when_nobody_reaches_the_engines_and_few_questions_are_asked() {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|_, _| false);
        let ordering = OrderingNodes::start(NODES, 3 * ENGINES, engines);
        watch(&ordering, Duration::from_secs(60)).await;
        assert_eq!(ordering.holders(), [FIRST]);
        let holder = &ordering.nodes[FIRST];
        assert_eq!(holder.valid_order_fence(), Some(1));
        let question = holder.state().handover.question.clone();
        let question = question.expect("question");
        assert!(question.engines.len() <= QUESTIONED, "{question:?}");
        // Five rounds in the first seconds, then one in ten seconds.
        let rounds = 5 + 5;
        for node in 1..NODES {
            let questions = ordering.engines.questions_of(node);
            assert!(questions > 5 * QUESTIONED, "{questions}");
            assert!(questions <= rounds * QUESTIONED, "{questions}");
        }
    });
}

#[test]
fn holder_stays_when_the_others_reach_hardly_any_more() {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|node, engine| node != FIRST && engine == 0);
        let ordering = OrderingNodes::start(NODES, 3 * ENGINES, engines);
        watch(&ordering, Duration::from_secs(20)).await;
        assert!(ordering.engines.questions_of(1) > 0);
        assert_eq!(ordering.holders(), [FIRST]);
        assert_eq!(ordering.engines.loaded(), 0);
    });
}

#[test]
fn holder_stays_when_engines_answer_it_but_take_no_orders() {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|_, _| true);
        engines.rejects_orders.set(true);
        let ordering = OrderingNodes::start(NODES, ENGINES, engines);
        watch(&ordering, Duration::from_secs(20)).await;
        assert_eq!(ordering.holders(), [FIRST]);
        assert!((1..NODES).all(|node| ordering.engines.questions_of(node) == 0));
    });
}

#[test]
fn holder_stays_when_engines_are_back_before_the_others_have_answered() {
    run_paused(async {
        let is_back = Rc::new(Cell::new(false));
        let back = Rc::clone(&is_back);
        let engines = PartlyReachedEngines::new(move |node, _| node != FIRST || back.get());
        let ordering = OrderingNodes::start(NODES, ENGINES, engines);
        watch_until(&ordering, || ordering.engines.questions_of(1) > 0).await;
        is_back.set(true);
        watch(&ordering, Duration::from_secs(15)).await;
        assert_eq!(ordering.engines.holders(), [FIRST]);
        assert_eq!(ordering.engines.loaded(), ENGINES);
    });
}

#[test]
fn question_has_a_number_of_its_own_when_engines_are_lost_again() {
    run_paused(async {
        let is_back = Rc::new(Cell::new(false));
        let back = Rc::clone(&is_back);
        let engines = PartlyReachedEngines::new(move |_, _| back.get());
        let ordering = OrderingNodes::start(NODES, ENGINES, engines);
        let question = || {
            let state = ordering.nodes[FIRST].state();
            state.handover.question.as_ref().map(|asked| asked.round)
        };
        watch_until(&ordering, || question().is_some()).await;
        let first = question();
        is_back.set(true);
        watch_until(&ordering, || question().is_none()).await;
        is_back.set(false);
        watch_until(&ordering, || question().is_some()).await;
        assert!(question() > first);
    });
}

#[parameterized(
    holder = { &[FIRST], &[FIRST] },
    all_others = { &[1, 2, 3], &[FIRST] },
    first_candidate = { &[1], &[FIRST, 2] },
)]
fn nodes_of_the_former_build_take_no_part(former: &[usize], expected: &[usize]) {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|node, engine| node != FIRST || engine % 5 == 0);
        let former = former.iter().copied();
        let ordering = OrderingNodes::start_with_former(NODES, ENGINES, engines, former);
        watch(&ordering, Duration::from_secs(25)).await;
        assert_eq!(ordering.engines.holders(), expected);
        tenures(&ordering);
    });
}

#[test]
fn successor_that_fails_is_not_waited_for() {
    run_paused(async {
        let engines = PartlyReachedEngines::new(|node, _| node != FIRST);
        let ordering = OrderingNodes::start(NODES, ENGINES, engines);
        let successor = &ordering.nodes[1];
        let is_named = || successor.state().handover.handover.is_some();
        watch_until(&ordering, is_named).await;
        ordering.fall_silent(1);
        watch(&ordering, Duration::from_secs(12)).await;
        assert_eq!(ordering.engines.loaded(), ENGINES);
        assert_eq!(ordering.engines.holders(), [2]);
    });
}

/// A message of one of many nodes that is ready and reaches the store.
fn message_of(index: usize, template: &PeerMessage) -> PeerMessage {
    let mut message = template.clone();
    message.from.name = NodeName::new(format!("front-zone-{}-{index:04}", index % 11));
    message.from.incarnation = 1_000 + index as u64;
    message.from.peer_address = format!("127.0.0.1:{}", 20_000 + index).parse().unwrap();
    message.reaches_store = true;
    message.known_nodes = LARGE;
    message
}

#[test]
fn question_costs_little_however_many_nodes_there_are() {
    run_paused(async {
        let holder = node(0);
        let template = node(1).peer_message(true);
        for index in 0..LARGE - 1 {
            holder.receive_peer_message(message_of(index, &template));
        }
        let candidates = holder.order_candidates();
        assert_eq!(candidates.len(), LARGE - 1);
        let engine = |index: usize| format!("engine-of-a-long-name-{index:06}");
        let named = 0..QUESTIONED;
        let question = ReachQuestion {
            fence: u64::MAX,
            round: u64::MAX,
            engines: named.map(|index| BackEndName::new(engine(index))).collect(),
            candidates: candidates[..3].to_vec(),
        };
        holder.set_reach_question(Some(question));
        let message = holder.peer_message(true);
        let receivers = holder.peer_receivers(false, &mut rand::rng());
        assert!(receivers.len() <= 45, "{}", receivers.len());
        let told = holder.messages_for(message.clone(), receivers);
        let with_question = told
            .iter()
            .filter(|(told, _)| told.reach_question.is_some());
        let receivers: usize = with_question.map(|(_, receivers)| receivers.len()).sum();
        assert_eq!(receivers, 3);
        let length = |message: &PeerMessage| serde_json::to_vec(message).expect("message").len();
        let added = length(&message) - length(&message.clone().without_reach());
        assert!(added < 1_000, "{added} bytes");
    });
}
