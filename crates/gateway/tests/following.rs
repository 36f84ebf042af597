//! Following the source, on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{
    CatalogueSource, Consistency, FollowSettings, ItemKind, SourceError, follow,
};
use support::gateway_bench::{
    configure, gateway, gateway_with, list_engines, run_paused, settings,
};
use support::records::table;
use support::scripted_source::{Answer, Question, ScriptedSource, unavailable, version};
use tokio::task::spawn_local;
use tokio::time::sleep;
use yare::parameterized;

/// Allowed age of a proof.
const ALLOWED: Duration = Duration::from_secs(5);

/// A node that was just started waits between its first calls, until it knows how many others there
/// are; then that is over.
const AFTER_START: Duration = Duration::from_secs(4);

fn start_following(gateway: &Rc<Gateway>, source: &Rc<ScriptedSource>) {
    start_following_kind(ItemKind::Configuration, gateway, source);
}

fn start_following_kind(kind: ItemKind, gateway: &Rc<Gateway>, source: &Rc<ScriptedSource>) {
    let settings = FollowSettings {
        watch: Duration::from_secs(15),
        answer: Duration::from_secs(1),
        longest_pause: Duration::from_millis(500),
    };
    let source: Rc<dyn CatalogueSource> = source.clone();
    spawn_local(follow(Rc::clone(gateway), source, kind, settings));
}

#[test]
fn list_comes_first_then_watches_from_its_revision() {
    run_paused(async {
        let source = ScriptedSource::new([
            Answer::Page {
                versions: vec![3],
                revision: 10,
            },
            Answer::Batch {
                versions: vec![5],
                revision: 12,
            },
        ]);
        let gateway = gateway("node-1");
        start_following(&gateway, &source);
        sleep(AFTER_START).await;
        assert_eq!(version(&gateway), Some(5));
        let wait = Duration::from_secs(15);
        let watch = |revision| Question::Watch { revision, wait };
        let consistency = Consistency::Linearizable;
        let expected = [Question::List { consistency }, watch(10), watch(12)];
        assert_eq!(source.questions.borrow()[..], expected);
    });
}

#[test]
fn list_is_read_again_when_the_history_is_gone() {
    run_paused(async {
        let source = ScriptedSource::new([
            Answer::Page {
                versions: vec![3],
                revision: 10,
            },
            Answer::Fails(SourceError::HistoryGone),
            Answer::Page {
                versions: vec![8],
                revision: 40,
            },
        ]);
        let gateway = gateway("node-1");
        start_following(&gateway, &source);
        sleep(AFTER_START).await;
        assert_eq!(version(&gateway), Some(8));
    });
}

#[test]
fn stale_list_is_not_believed() {
    run_paused(async {
        let source = ScriptedSource::new([
            Answer::Page {
                versions: vec![3],
                revision: 10,
            },
            Answer::Fails(SourceError::HistoryGone),
            Answer::Page {
                versions: vec![2],
                revision: 9,
            },
            Answer::Page {
                versions: vec![4],
                revision: 11,
            },
        ]);
        let gateway = gateway("node-1");
        start_following(&gateway, &source);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(version(&gateway), Some(4));
    });
}

#[test]
fn answer_is_wanted_at_once_after_a_failure() {
    run_paused(async {
        let source = ScriptedSource::new([
            Answer::Page {
                versions: vec![3],
                revision: 10,
            },
            unavailable(),
            Answer::Batch {
                versions: vec![],
                revision: 10,
            },
        ]);
        let gateway = gateway("node-1");
        start_following(&gateway, &source);
        sleep(AFTER_START).await;
        let questions = source.questions.borrow();
        let waits: Vec<_> = questions
            .iter()
            .filter_map(|question| match question {
                Question::Watch { wait, .. } => Some(wait.as_secs()),
                Question::List { .. } => None,
            })
            .collect();
        assert_eq!(waits, [15, 0, 15]);
    });
}

#[test]
fn silent_source_is_asked_again() {
    run_paused(async {
        let source = ScriptedSource::new([Answer::Page {
            versions: vec![3],
            revision: 10,
        }]);
        let gateway = gateway("node-1");
        start_following(&gateway, &source);
        sleep(Duration::from_secs(40)).await;
        assert!(source.questions.borrow().len() >= 4);
        assert_eq!(version(&gateway), Some(3));
    });
}

/// Twelve other nodes of the zone, which make a deployment large.
fn many_others() -> Vec<Rc<Gateway>> {
    let others = (0..12).map(|index| {
        let mut own = settings(&format!("other-{index:02}"));
        own.identity.incarnation = index + 100;
        let other = gateway_with(own);
        configure(&other, table(1, Vec::new()));
        list_engines(&other, Vec::new());
        other
    });
    others.collect()
}

fn hear_all(gateway: &Gateway, others: &[Rc<Gateway>]) {
    for other in others {
        gateway.receive_peer_message(other.peer_message(false));
    }
}

#[test]
fn long_watch_is_left_when_the_deployment_has_grown_large() {
    run_paused(async {
        let page = Answer::Page {
            versions: vec![3],
            revision: 10,
        };
        let source = ScriptedSource::new([page]);
        // By name the first, so it reads for its zone.
        let gateway = gateway("node-1");
        list_engines(&gateway, Vec::new());
        start_following(&gateway, &source);
        sleep(AFTER_START).await;
        hear_all(&gateway, &many_others());
        sleep(Duration::from_millis(500)).await;
        let questions = source.questions.borrow();
        let waits = questions.iter().filter_map(|question| match question {
            Question::Watch { wait, .. } => Some(wait.as_millis()),
            Question::List { .. } => None,
        });
        assert_eq!(waits.collect::<Vec<_>>(), [15_000, 450]);
    });
}

#[test]
fn relying_node_asks_the_source_only_when_its_copy_is_too_old() {
    run_paused(async {
        let page = Answer::Page {
            versions: vec![3],
            revision: 10,
        };
        let source = ScriptedSource::new([page]);
        let gateway = gateway("zz-last");
        let others = many_others();
        start_following(&gateway, &source);
        sleep(Duration::from_millis(100)).await;
        // The bound of the tests is 3 s; the proof is from the list.
        for _ in 0..17 {
            hear_all(&gateway, &others);
            sleep(Duration::from_millis(100)).await;
        }
        let asked = |source: &ScriptedSource| source.questions.borrow().len();
        assert_eq!(asked(&source), 1);
        for _ in 0..8 {
            hear_all(&gateway, &others);
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(asked(&source), 2);
        let newest = source.questions.borrow().last().cloned();
        let wait = Duration::ZERO;
        assert_eq!(newest, Some(Question::Watch { revision: 10, wait }));
    });
}

#[parameterized(
    configuration = { ItemKind::Configuration, Consistency::Linearizable },
    engines = { ItemKind::Engines, Consistency::Stale },
    weights = { ItemKind::Weights, Consistency::Stale },
)]
fn only_a_configuration_needs_a_current_list_at_the_start(kind: ItemKind, expected: Consistency) {
    run_paused(async move {
        // A list without a configuration proves none.
        let versions = match kind {
            ItemKind::Configuration => vec![3],
            ItemKind::Engines | ItemKind::Weights => Vec::new(),
        };
        let page = || Answer::Page {
            versions: versions.clone(),
            revision: 10,
        };
        let gone = Answer::Fails(SourceError::HistoryGone);
        let source = ScriptedSource::new([page(), gone, page()]);
        let gateway = gateway("node-1");
        start_following_kind(kind, &gateway, &source);
        sleep(Duration::from_millis(100)).await;
        let now = gateway.clock().now();
        let is_proven = expected == Consistency::Linearizable;
        let freshness = gateway.state().replicas.of(kind).freshness;
        assert_eq!(freshness.is_within(ALLOWED, now), is_proven);
        sleep(AFTER_START).await;
        let questions = source.questions.borrow();
        let lists = questions.iter().filter_map(|question| match question {
            Question::List { consistency } => Some(*consistency),
            Question::Watch { .. } => None,
        });
        assert_eq!(
            lists.collect::<Vec<_>>(),
            [expected, Consistency::Linearizable]
        );
    });
}

/// A node that has the configuration 3, and hears of version 4 from the one that it relies on.
async fn node_that_hears_of_a_newer_configuration(source: &Rc<ScriptedSource>) -> Rc<Gateway> {
    let gateway = gateway("zz-last");
    list_engines(&gateway, Vec::new());
    let others = many_others();
    hear_all(&gateway, &others);
    start_following(&gateway, source);
    sleep(Duration::from_millis(100)).await;
    configure(&others[0], table(4, Vec::new()));
    let (_, question) = gateway.next_question().expect("relies on another");
    gateway.apply_answer(others[0].answer_question(&question));
    sleep(Duration::from_millis(100)).await;
    gateway
}

#[test]
fn configuration_that_another_node_has_is_read_from_a_stale_list() {
    run_paused(async {
        let page = |version, revision| Answer::Page {
            versions: vec![version],
            revision,
        };
        let source = ScriptedSource::new([page(3, 10), page(4, 12)]);
        let gateway = node_that_hears_of_a_newer_configuration(&source).await;
        assert_eq!(version(&gateway), Some(4));
        let last = source.questions.borrow().last().cloned();
        let consistency = Consistency::Stale;
        assert_eq!(last, Some(Question::List { consistency }));
        assert_eq!(source.questions.borrow().len(), 2);
    });
}

#[parameterized(
    older_than_the_copy = { 2, 9 },
    no_newer_than_the_copy = { 3, 10 },
)]
fn list_that_is_too_stale_is_followed_by_a_current_answer(listed: u64, revision: u64) {
    run_paused(async move {
        let page = |version, revision| Answer::Page {
            versions: vec![version],
            revision,
        };
        let newest = Answer::Batch {
            versions: vec![4],
            revision: 12,
        };
        let source = ScriptedSource::new([page(3, 10), page(listed, revision), newest]);
        let gateway = node_that_hears_of_a_newer_configuration(&source).await;
        assert_eq!(version(&gateway), Some(4));
        let wait = Duration::ZERO;
        let last = source.questions.borrow().last().cloned();
        assert_eq!(last, Some(Question::Watch { revision: 10, wait }));
    });
}

/// A node whose source fails, in a deployment of so many others.
async fn questions_in_an_outage(others: usize) -> (Rc<Gateway>, Rc<ScriptedSource>) {
    let page = Answer::Page {
        versions: vec![3],
        revision: 10,
    };
    let failures = (0..200).map(|_| unavailable());
    let source = ScriptedSource::new([page].into_iter().chain(failures));
    let gateway = gateway("node-1");
    list_engines(&gateway, Vec::new());
    start_following(&gateway, &source);
    let other = gateway_with(settings("other"));
    let mut message = other.peer_message(true);
    message.known_nodes = others;
    gateway.receive_peer_message(message);
    // As the tests' bound is 3 s, the copy is too old by then.
    sleep(Duration::from_secs(5)).await;
    source.questions.borrow_mut().clear();
    sleep(Duration::from_secs(20)).await;
    (gateway, source)
}

#[test]
fn nodes_share_out_who_asks_while_the_source_is_down() {
    run_paused(async {
        let asked = |source: &ScriptedSource| source.questions.borrow().len();
        let (_, of_few) = questions_in_an_outage(3).await;
        let asked_by_few = asked(&of_few);
        assert!((40..=80).contains(&asked_by_few), "{asked_by_few}");
        let (gateway, of_many) = questions_in_an_outage(100).await;
        assert!((6..=14).contains(&asked(&of_many)), "{}", asked(&of_many));
        // Another node has got an answer, so this one asks soon.
        let before = asked(&of_many);
        let other = gateway_with(settings("other"));
        configure(&other, table(3, Vec::new()));
        let mut message = other.peer_message(true);
        message.sequence = 100;
        gateway.receive_peer_message(message);
        sleep(Duration::from_millis(600)).await;
        assert!(asked(&of_many) > before);
    });
}
