//! Catching up with a reader of the zone instead of asking the source.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::EngineState;
use ryerouter_gateway::gateway::{Gateway, Role};
use ryerouter_gateway::peers::Datagram;
use ryerouter_gateway::source::{ChangeLog, Item, ItemBatch, ItemChange, ItemKind, NamedWeights};
use ryerouter_gateway::sync::Answer;
use support::fleet::{FIRST_REVISION, introduce, node, node_in, zone_of_many};
use support::gateway_bench::{configure, gateway_with, run, run_paused, settings};
use support::records::{FAILURES_OF_TROUBLE, ZONE, engine, table};
use tokio::time::sleep;
use yare::parameterized;

/// Datagrams travel as JSON.
fn ask(asker: &Gateway, reader: &Gateway) -> Option<Answer> {
    let (address, question) = asker.next_question()?;
    assert_eq!(address, reader.settings().identity.peer_address);
    let answer = Datagram::Answer(reader.answer_question(&question));
    let bytes = serde_json::to_vec(&answer).unwrap();
    match serde_json::from_slice(&bytes).unwrap() {
        Datagram::Answer(answer) => Some(answer),
        other => panic!("not an answer: {other:?}"),
    }
}

fn catch_up(asker: &Gateway, reader: &Gateway) {
    let answer = ask(asker, reader).expect("relies on the reader");
    asker.apply_answer(answer);
}

fn engine_change(name: &str, state: EngineState) -> ItemChange {
    let mut entry = engine(name, "127.0.0.1:1".parse().unwrap(), 1);
    entry.state = state;
    ItemChange::Present(Item::Engine(entry))
}

/// The source tells a reader changes of its list of engines.
fn source_tells(reader: &Gateway, changes: Vec<ItemChange>, revision: u64) {
    let revision = revision.into();
    let batch = ItemBatch {
        changes,
        revision,
        is_whole: true,
    };
    let now = reader.clock().now();
    reader.apply_batch(ItemKind::Engines, batch, Some(now));
}

fn state_of(gateway: &Gateway, name: &str) -> Option<EngineState> {
    let state = gateway.state();
    let known = state.engines.get(&BackEndName::new(name));
    known.map(|engine| engine.entry.state)
}

fn age(gateway: &Gateway, kind: ItemKind) -> Duration {
    let state = gateway.state();
    let freshness = state.replicas.of(kind).freshness;
    freshness.age(gateway.clock().now()).unwrap()
}

#[test]
fn every_node_of_a_small_deployment_watches_for_itself() {
    run(async {
        let nodes: Vec<_> = (0..7).map(node).collect();
        introduce(&nodes);
        for node in &nodes {
            assert_eq!(node.role(), Role::Watcher);
            assert!(node.next_question().is_none());
        }
    });
}

/// The node that `node` asks, if any.
fn asked_by(node: &Gateway, nodes: &[Rc<Gateway>]) -> Option<usize> {
    let (address, _) = node.next_question()?;
    let mut all = nodes.iter();
    all.position(|node| node.settings().identity.peer_address == address)
}

#[test]
fn one_node_reads_and_the_first_of_each_zone_passes_it_on() {
    run(async {
        let zone_of = |index: usize| ["zone-a", "zone-b", "zone-c"][index % 3];
        let nodes: Vec<_> = (0..15)
            .map(|index| node_in(index, zone_of(index)))
            .collect();
        introduce(&nodes);
        for (index, node) in nodes.iter().enumerate() {
            let is_first = index == 0;
            assert_eq!(node.role() == Role::Reader, is_first, "node {index}");
            let expected = match index {
                0 => None,
                1 | 2 => Some(0),
                _ => Some(index % 3),
            };
            assert_eq!(asked_by(node, &nodes), expected, "node {index}");
        }
    });
}

#[test]
fn reader_of_a_zone_reads_for_itself_once_the_first_node_is_silent() {
    run(async {
        let zone_of = |index: usize| ["zone-a", "zone-b"][index % 2];
        let nodes: Vec<_> = (0..12)
            .map(|index| node_in(index, zone_of(index)))
            .collect();
        introduce(&nodes);
        // Its questions to the nodes of the other zone get no answer, as in a cut between zones.
        let asked: Vec<_> = (0..12).map(|_| asked_by(&nodes[1], &nodes)).collect();
        assert_eq!(asked[..3], [Some(0), Some(0), None]);
        assert_eq!(nodes[1].role(), Role::Reader);
        assert_eq!(nodes[3].role(), Role::Follower);
    });
}

#[test]
fn what_the_first_node_reads_reaches_the_nodes_of_other_zones_with_its_age() {
    run(async {
        let zone_of = |index: usize| ["zone-a", "zone-b"][index % 2];
        let nodes: Vec<_> = (0..12)
            .map(|index| node_in(index, zone_of(index)))
            .collect();
        introduce(&nodes);
        tokio::time::sleep(Duration::from_millis(40)).await;
        let proven_at = nodes[0].clock().now();
        source_tells(
            &nodes[0],
            vec![engine_change("e2", EngineState::Ready)],
            101,
        );
        catch_up(&nodes[1], &nodes[0]);
        tokio::time::sleep(Duration::from_millis(20)).await;
        catch_up(&nodes[5], &nodes[1]);
        assert_eq!(state_of(&nodes[5], "e2"), Some(EngineState::Ready));
        let certain = nodes[0].clock().now().since(proven_at);
        assert!(age(&nodes[5], ItemKind::Engines) >= certain);
        assert!(age(&nodes[5], ItemKind::Engines) < certain + Duration::from_millis(30));
    });
}

#[test]
fn node_that_only_started_relies_on_any_that_serves() {
    run(async {
        let nodes: Vec<_> = (1..13).map(node).collect();
        let mut own = settings("node-00");
        own.identity.incarnation = 5;
        let started = gateway_with(own);
        for other in &nodes {
            for peer in &nodes {
                other.receive_peer_message(peer.peer_message(true));
            }
        }
        // One message tells it that there are many, and whom it may ask.
        started.receive_peer_message(nodes[4].peer_message(true));
        assert_eq!(started.role(), Role::Follower);
        assert_eq!(asked_by(&started, &nodes), Some(4));
        assert_eq!(nodes[0].role(), Role::Reader);
    });
}

#[test]
fn node_that_has_heard_of_few_is_told_how_many_there_are() {
    run(async {
        let nodes = zone_of_many();
        let mut own = settings("node-50");
        own.identity.incarnation = 77;
        own.identity.peer_address = "127.0.0.1:10050".parse().unwrap();
        let started = gateway_with(own);
        assert!(started.owes_full_update());
        nodes[3].receive_peer_message(started.peer_message(true));
        assert!(nodes[3].owes_full_update());
        let receivers = nodes[3].peer_receivers(true, &mut rand::rng());
        assert!(receivers.contains(&"127.0.0.1:10050".parse().unwrap()));
        started.receive_peer_message(nodes[3].peer_message(true));
        assert!(started.state().peers.is_large());
        // It has not heard of them itself, so it does not tell others that there are many.
        assert_eq!(started.peer_message(true).known_nodes, 1);
    });
}

#[test]
fn changes_of_engines_pass_from_the_reader_to_the_others() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        let drains = vec![engine_change("e1", EngineState::Draining)];
        source_tells(reader, drains, 101);
        source_tells(reader, vec![engine_change("e2", EngineState::Ready)], 102);
        source_tells(reader, vec![ItemChange::Gone("e1".to_owned())], 103);
        catch_up(other, reader);
        assert_eq!(state_of(other, "e1"), None);
        assert_eq!(state_of(other, "e2"), Some(EngineState::Ready));
        assert_eq!(
            other.state().replicas.of(ItemKind::Engines).revision,
            Some(103.into())
        );
    });
}

#[test]
fn older_news_of_a_reader_take_nothing_back() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        source_tells(
            reader,
            vec![engine_change("e1", EngineState::Draining)],
            101,
        );
        let answer = ask(other, reader).unwrap();
        // Meanwhile this node asked the source itself.
        source_tells(other, vec![ItemChange::Gone("e1".to_owned())], 105);
        other.apply_answer(answer);
        assert_eq!(state_of(other, "e1"), None);
    });
}

#[test]
fn proof_counts_from_the_question_and_by_the_age_that_the_reader_tells() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        tokio::time::sleep(Duration::from_millis(40)).await;
        source_tells(reader, Vec::new(), 101);
        let proven_at = reader.clock().now();
        tokio::time::sleep(Duration::from_millis(40)).await;
        let answer = ask(other, reader).unwrap();
        // The answer waits, as when its receiver was paused.
        tokio::time::sleep(Duration::from_millis(40)).await;
        other.apply_answer(answer);
        let certain = reader.clock().now().since(proven_at);
        assert!(age(other, ItemKind::Engines) >= certain);
        assert!(age(other, ItemKind::Engines) < certain + Duration::from_millis(30));
        // The configuration was not asked for again.
        assert!(age(other, ItemKind::Configuration) >= Duration::from_millis(120));
    });
}

#[test]
fn reader_with_a_newer_configuration_proves_nothing_and_makes_the_others_ask() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        tokio::time::sleep(Duration::from_millis(20)).await;
        configure(reader, table(2, Vec::new()));
        catch_up(other, reader);
        let state = other.state();
        assert!(state.replicas.of(ItemKind::Configuration).is_behind());
        drop(state);
        assert!(age(other, ItemKind::Configuration) >= Duration::from_millis(20));
    });
}

#[test]
fn node_that_is_further_behind_than_the_log_reaches_asks_the_source() {
    run_paused(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        let many = (0..400).map(|index| engine_change(&format!("m{index}"), EngineState::Ready));
        for (index, change) in many.enumerate() {
            source_tells(reader, vec![change], 101 + index as u64);
            sleep(Duration::from_millis(10)).await;
        }
        for node in &nodes[1..] {
            other.receive_peer_message(node.peer_message(false));
        }
        other.receive_peer_message(reader.peer_message(false));
        catch_up(other, reader);
        let state = other.state();
        assert!(state.replicas.of(ItemKind::Engines).is_behind());
    });
}

/// As many as a source tells at once while a fleet starts.
#[test]
fn a_thousand_changes_at_once_pass_on_in_one_answer() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        let many =
            |state| (0..500).map(move |index| engine_change(&format!("i-{index:010}"), state));
        source_tells(reader, many(EngineState::Ready).collect(), 101);
        let leaving = many(EngineState::Draining).take(499);
        let gone = [ItemChange::Gone("i-0000000499".to_owned())];
        source_tells(reader, leaving.chain(gone).collect(), 102);
        let answer = ask(other, reader).expect("relies on the reader");
        let bytes = serde_json::to_vec(&Datagram::Answer(answer.clone())).unwrap();
        assert!(bytes.len() < 60_000, "{}", bytes.len());
        other.apply_answer(answer);
        assert_eq!(state_of(other, "i-0000000007"), Some(EngineState::Draining));
        assert_eq!(state_of(other, "i-0000000499"), None);
        let state = other.state();
        assert_eq!(
            state.replicas.of(ItemKind::Engines).revision,
            Some(102.into())
        );
    });
}

#[test]
fn changes_that_one_answer_does_not_hold_are_asked_for_at_once() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        for batch in 0..5 {
            let name = |index| format!("i-{batch}-{index}");
            let changes = (0..400).map(|index| engine_change(&name(index), EngineState::Ready));
            source_tells(reader, changes.collect(), 101 + batch);
        }
        let mut answers = 0;
        while other.apply_answer(ask(other, reader).expect("relies on the reader")) {
            answers += 1;
        }
        assert_eq!(answers, 2);
        let state = other.state();
        assert_eq!(
            state.replicas.of(ItemKind::Engines).revision,
            Some(105.into())
        );
    });
}

/// Where a whole deployment starts before there is a configuration, a reader that has none is as good as any.
#[test]
fn reader_without_a_configuration_is_not_left_by_a_node_without_one() {
    run(async {
        let bare = |index: usize| {
            let mut own = settings(&format!("node-{index:02}"));
            own.identity.incarnation = index as u64 + 10;
            let port = 10_000 + index as u16;
            own.identity.peer_address = ([127, 0, 0, 1], port).into();
            gateway_with(own)
        };
        let nodes: Vec<_> = (0..12).map(bare).collect();
        introduce(&nodes);
        for _ in 0..3 {
            catch_up(&nodes[5], &nodes[0]);
        }
        assert_eq!(nodes[5].role(), Role::Follower);
        assert_eq!(asked_by(&nodes[5], &nodes), Some(0));
    });
}

#[test]
fn list_that_replaces_lost_history_still_tells_the_others_what_changed() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        let entry = engine("e2", "127.0.0.1:2".parse().unwrap(), 1);
        let now = reader.clock().now();
        reader.apply_list(ItemKind::Engines, vec![Item::Engine(entry)], 200, now);
        catch_up(other, reader);
        assert_eq!(state_of(other, "e1"), None);
        assert_eq!(state_of(other, "e2"), Some(EngineState::Ready));
    });
}

fn name_weights(reader: &Gateway, version: u64, revision: u64) {
    let named = Item::Weights(NamedWeights {
        model: "model".to_owned(),
        version,
    });
    let batch = ItemBatch {
        changes: vec![ItemChange::Present(named)],
        revision: revision.into(),
        is_whole: true,
    };
    let now = reader.clock().now();
    reader.apply_batch(ItemKind::Weights, batch, Some(now));
}

#[test]
fn named_weights_pass_on_with_their_age() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        name_weights(reader, 2, 101);
        tokio::time::sleep(Duration::from_millis(50)).await;
        catch_up(other, reader);
        let (own, theirs) = (reader.state(), other.state());
        let left = |gateway: &Gateway, until: Option<ryerouter_core::Timestamp>| {
            until.unwrap().since(gateway.clock().now()).as_millis() as i64
        };
        let own = left(reader, own.deadlines.until("model", 1));
        let theirs = left(other, theirs.deadlines.until("model", 1));
        assert!((own - theirs).abs() <= 10, "{own} ms and {theirs} ms");
    });
}

#[test]
fn reader_that_started_after_weights_were_named_does_not_vouch_for_their_age() {
    run(async {
        let mut nodes = zone_of_many();
        let late = gateway_with(nodes[0].settings().clone());
        let now = late.clock().now();
        configure(&late, table(1, Vec::new()));
        let named = Item::Weights(NamedWeights {
            model: "model".to_owned(),
            version: 2,
        });
        late.apply_list(ItemKind::Weights, vec![named], 150, now);
        late.apply_list(ItemKind::Engines, Vec::new(), 150, now);
        nodes[0] = late;
        let (reader, other) = (&nodes[0], &nodes[5]);
        catch_up(other, reader);
        let state = other.state();
        // It goes on to ask the source, which it would not do as soon as it took the revision over.
        let revision = state.replicas.of(ItemKind::Weights).revision;
        assert_eq!(revision, Some(FIRST_REVISION.into()));
        assert_eq!(state.deadlines.until("model", 1), None);
    });
}

#[test]
fn silent_reader_is_replaced_by_the_next_node_after_two_questions() {
    run(async {
        let nodes = zone_of_many();
        let asked: Vec<_> = (0..4)
            .map(|_| nodes[5].next_question().unwrap().0.port())
            .collect();
        assert_eq!(asked, [10_000, 10_000, 10_001, 10_001]);
    });
}

#[test]
fn node_that_others_rely_on_reads() {
    run(async {
        let nodes = zone_of_many();
        assert_eq!(nodes[1].role(), Role::Follower);
        for _ in 0..3 {
            let (_, question) = nodes[5].next_question().unwrap();
            nodes[1].answer_question(&question);
        }
        assert_eq!(nodes[1].role(), Role::Reader);
    });
}

#[test]
fn reader_that_knows_nothing_recent_is_not_asked_again_soon() {
    run(async {
        let mut short = settings("node-05");
        short.identity.incarnation = 99;
        short.propagation_limit = Duration::from_millis(60);
        let asker = gateway_with(short);
        let now = asker.clock().now();
        configure(&asker, table(1, Vec::new()));
        asker.apply_list(ItemKind::Engines, Vec::new(), FIRST_REVISION, now);
        let mut nodes: Vec<_> = (0..11).filter(|index| *index != 5).map(node).collect();
        nodes.push(asker);
        introduce(&nodes);
        let asker = &nodes[nodes.len() - 1];
        tokio::time::sleep(Duration::from_millis(80)).await;
        catch_up(asker, &nodes[0]);
        let (next, _) = asker.next_question().unwrap();
        assert_eq!(next.port(), 10_001);
    });
}

#[test]
fn far_node_is_alive_while_others_have_new_messages_of_it() {
    run(async {
        let zone_of = |index: usize| if index == 0 { ZONE } else { "zone-b" };
        let nodes: Vec<_> = (0..12)
            .map(|index| node_in(index, zone_of(index)))
            .collect();
        introduce(&nodes);
        let (first, between, far) = (&nodes[0], &nodes[1], &nodes[2]);
        let newest = |gateway: &Gateway| {
            let state = gateway.state();
            let now = gateway.clock().now();
            let mut alive = state.peers.alive(now);
            let peer = alive.find(|peer| peer.identity.name.as_str() == "node-02");
            peer.map(|peer| (peer.newest_sequence, peer.heard_at))
        };
        let before = newest(first).unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
        between.receive_peer_message(far.peer_message(false));
        // A message echoes up to sixteen of eleven other nodes.
        first.receive_peer_message(between.peer_message(false));
        let after = newest(first).unwrap();
        assert!(after.0 > before.0 && after.1 > before.1);
        // Without newer messages the echo of the old one is no news.
        first.receive_peer_message(between.peer_message(false));
        assert_eq!(newest(first).unwrap(), after);
    });
}

#[parameterized(
    nothing_missing = { 103, 40, Some((103, 0)) },
    two_batches = { 101, 40, Some((103, 2)) },
    all = { 100, 40, Some((103, 3)) },
    more_than_fits = { 100, 2, Some((102, 2)) },
    before_the_begin = { 99, 40, None },
    batch_that_never_fits = { 100, 0, None },
)]
fn log_tells_whole_batches(after: u64, most: usize, expected: Option<(u64, usize)>) {
    let mut log = ChangeLog::default();
    log.restart(100.into());
    for revision in 101..=103 {
        log.append(
            [ItemChange::Gone(format!("e{revision}"))],
            revision.into(),
            Timestamp::ZERO,
        );
    }
    let told = log.after(after.into(), 103.into(), most);
    let told = told.map(|told| (told.revision.number, told.changes.len()));
    assert_eq!(told, expected);
}

#[test]
fn entry_that_lapsed_during_trouble_of_the_reader_stays_at_those_that_rely_on_it() {
    run(async {
        let nodes = zone_of_many();
        let (reader, other) = (&nodes[0], &nodes[5]);
        reader.note_source_disruption(ItemKind::Engines, FAILURES_OF_TROUBLE);
        source_tells(reader, vec![ItemChange::Gone("e1".to_owned())], 101);
        assert_eq!(state_of(reader, "e1"), Some(EngineState::Ready));
        catch_up(other, reader);
        assert_eq!(state_of(other, "e1"), Some(EngineState::Ready));
        source_tells(reader, vec![engine_change("e1", EngineState::Ready)], 102);
        catch_up(other, reader);
        let is_unlisted = |node: &Gateway| {
            let name = BackEndName::new("e1");
            node.state().engines.get(&name).unwrap().is_unlisted
        };
        assert!(!is_unlisted(reader) && !is_unlisted(other));
    });
}
