//! Following the source, and proving that the configuration is current, on a virtual clock.

mod support;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::{Future, pending};
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::Datagram;
use ryerouter_gateway::source::{
    CatalogueSource, Consistency, FollowSettings, Item, ItemBatch, ItemChange, ItemKind, ItemPage,
    SourceError, follow, keep_fresh,
};
use support::gateway_bench::{configure, gateway, gateway_with, list_engines, settings};
use support::records::{route, table};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use yare::parameterized;

/// What the source answers next.
enum Answer {
    Page { versions: Vec<u64>, revision: u64 },
    Batch { versions: Vec<u64>, revision: u64 },
    Fails(SourceError),
}

/// A question as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Question {
    List { consistency: Consistency },
    Watch { revision: u64, wait: Duration },
}

/// Gives the scripted answers, then is silent.
#[derive(Default)]
struct ScriptedSource {
    answers: RefCell<VecDeque<Answer>>,
    questions: RefCell<Vec<Question>>,
}

impl ScriptedSource {
    fn new(answers: impl IntoIterator<Item = Answer>) -> Rc<Self> {
        Rc::new(Self {
            answers: RefCell::new(answers.into_iter().collect()),
            ..Self::default()
        })
    }

    fn next(&self, question: Question) -> Option<Answer> {
        self.questions.borrow_mut().push(question);
        self.answers.borrow_mut().pop_front()
    }
}

fn configuration(version: u64) -> Item {
    let routes = vec![route(RequestKind::Safe)];
    Item::Configuration(Rc::new(table(version, routes)))
}

impl CatalogueSource for ScriptedSource {
    fn list<'a>(
        &'a self,
        _kind: ItemKind,
        consistency: Consistency,
        _after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<ItemPage, SourceError>> {
        let answer = self.next(Question::List { consistency });
        async move {
            match answer {
                Some(Answer::Page { versions, revision }) => Ok(ItemPage {
                    items: versions.into_iter().map(configuration).collect(),
                    next_after: None,
                    revision,
                }),
                Some(Answer::Fails(error)) => Err(error),
                Some(Answer::Batch { .. }) => panic!("a list was asked"),
                None => pending().await,
            }
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        _kind: ItemKind,
        revision: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<ItemBatch, SourceError>> {
        let answer = self.next(Question::Watch { revision, wait });
        async move {
            match answer {
                Some(Answer::Batch { versions, revision }) => Ok(ItemBatch {
                    changes: versions
                        .into_iter()
                        .map(|version| ItemChange::Present(configuration(version)))
                        .collect(),
                    revision,
                }),
                Some(Answer::Fails(error)) => Err(error),
                Some(Answer::Page { .. }) => panic!("a watch was asked"),
                None => pending().await,
            }
        }
        .boxed_local()
    }
}

/// A node that was just started waits between its first calls, until it knows how many others there
/// are; then that is over.
const AFTER_START: Duration = Duration::from_secs(4);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

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

fn version(gateway: &Gateway) -> Option<u64> {
    let state = gateway.state();
    state.table.as_ref().map(|table| table.version())
}

fn unavailable() -> Answer {
    Answer::Fails(SourceError::Unavailable {
        detail: "scripted".to_owned(),
    })
}

#[test]
fn list_comes_first_then_watches_from_its_revision() {
    run(async {
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
    run(async {
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
    run(async {
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
    run(async {
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
    run(async {
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

const ALLOWED: Duration = Duration::from_secs(5);

fn start_proving(gateway: &Rc<Gateway>, source: &Rc<ScriptedSource>) {
    let mut state = gateway.state_mut();
    state.replicas.of_mut(ItemKind::Configuration).revision = Some(10);
    drop(state);
    let source: Rc<dyn CatalogueSource> = source.clone();
    spawn_local(keep_fresh(Rc::clone(gateway), source, ALLOWED));
}

fn empty() -> Answer {
    Answer::Batch {
        versions: vec![],
        revision: 10,
    }
}

#[test]
fn proof_never_gets_older_than_half_of_what_is_allowed() {
    run(async {
        let source = ScriptedSource::new((0..100).map(|_| empty()));
        let gateway = gateway("node-1");
        configure(&gateway, table(1, Vec::new()));
        start_proving(&gateway, &source);
        for _ in 0..200 {
            sleep(Duration::from_millis(100)).await;
            let now = gateway.clock().now();
            assert!(gateway.state().freshness().is_within(ALLOWED / 2, now));
        }
        let asked = source.questions.borrow().len();
        assert!((8..=20).contains(&asked), "asked {asked} times in 20 s");
    });
}

#[test]
fn node_does_not_ask_while_others_prove() {
    run(async {
        let source = ScriptedSource::new([]);
        let gateway = gateway("node-1");
        configure(&gateway, table(1, Vec::new()));
        start_proving(&gateway, &source);
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            let now = gateway.clock().now();
            let mut state = gateway.state_mut();
            let replica = state.replicas.of_mut(ItemKind::Configuration);
            replica.freshness.prove(now);
        }
        assert!(source.questions.borrow().is_empty());
    });
}

#[test]
fn node_without_answer_asks_again_and_the_proof_ages() {
    run(async {
        let source = ScriptedSource::new((0..20).map(|_| unavailable()));
        let gateway = gateway("node-1");
        configure(&gateway, table(1, Vec::new()));
        start_proving(&gateway, &source);
        sleep(Duration::from_secs(6)).await;
        assert!(source.questions.borrow().len() > 3);
        let now = gateway.clock().now();
        assert!(!gateway.state().freshness().is_within(ALLOWED, now));
    });
}

#[test]
fn node_asks_at_once_when_another_has_a_newer_configuration() {
    run(async {
        let newer = Answer::Batch {
            versions: vec![2],
            revision: 12,
        };
        let source = ScriptedSource::new([newer]);
        let first = gateway("node-1");
        let second = gateway("node-2");
        configure(&first, table(1, Vec::new()));
        configure(&second, table(2, Vec::new()));
        start_proving(&first, &source);
        second.hear_peer(first.peer_message(true));
        first.hear_peer(second.peer_message(true));
        sleep(Duration::from_millis(150)).await;
        assert_eq!(version(&first), Some(2));
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
        gateway.hear_peer(other.peer_message(false));
    }
}

#[test]
fn long_watch_is_left_when_the_deployment_has_grown_large() {
    run(async {
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
    run(async {
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
    run(async move {
        let page = || Answer::Page {
            versions: vec![],
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
    gateway.take_answer(others[0].answer_question(&question));
    sleep(Duration::from_millis(100)).await;
    gateway
}

#[test]
fn configuration_that_another_node_has_is_read_from_a_stale_list() {
    run(async {
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
    run(async move {
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
    gateway.hear_peer(message);
    // As the tests' bound is 3 s, the copy is too old by then.
    sleep(Duration::from_secs(5)).await;
    source.questions.borrow_mut().clear();
    sleep(Duration::from_secs(20)).await;
    (gateway, source)
}

#[test]
fn nodes_share_out_who_asks_while_the_source_is_down() {
    run(async {
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
        gateway.hear_peer(message);
        sleep(Duration::from_millis(600)).await;
        assert!(asked(&of_many) > before);
    });
}

/// Two nodes of a large deployment; the second has a newer configuration, and the source does not
/// answer the first one any more.
fn behind_and_ahead(document: &str) -> (Rc<Gateway>, Rc<Gateway>) {
    let first = gateway("node-1");
    configure(&first, table(1, Vec::new()));
    list_engines(&first, Vec::new());
    let mut own = settings("node-0");
    own.identity.incarnation = 2;
    own.identity.peer_address = "127.0.0.1:7".parse().unwrap();
    let second = gateway_with(own);
    list_engines(&second, Vec::new());
    configure(&second, table(2, Vec::new()).with_document(document));
    first.hear_peer(second.peer_message(true));
    (first, second)
}

/// Lets the first node fetch what it asks for; tells in how many pieces. Datagrams travel as JSON.
fn hand_over(first: &Gateway, second: &Gateway) -> usize {
    let mut pieces = 0;
    let mut next = first.next_fetch();
    while let Some((address, fetch)) = next {
        assert_eq!(address, second.settings().identity.peer_address);
        let chunk = second.answer_fetch(&fetch).expect("has a document");
        let bytes = serde_json::to_vec(&Datagram::Chunk(chunk)).unwrap();
        let Ok(Datagram::Chunk(chunk)) = serde_json::from_slice(&bytes) else {
            panic!("not a chunk");
        };
        pieces += 1;
        next = first.take_chunk(chunk);
    }
    pieces
}

#[parameterized(
    short = { 1, 1 },
    in_three_pieces = { 20_000, 3 },
    as_long_as_two_pieces = { 16_384, 2 },
)]
fn configuration_is_handed_on_to_a_node_that_the_source_does_not_answer(
    length: usize,
    pieces: usize,
) {
    run(async move {
        let (first, second) = behind_and_ahead(&format!("{:>length$}", 2));
        assert!(first.state().replicas.of(ItemKind::Configuration).is_behind);
        // While the source answers it is asked, since that costs the other node nothing.
        assert_eq!(first.next_fetch(), None);
        first.note_source_trouble(ItemKind::Configuration, 1);
        assert_eq!(hand_over(&first, &second), pieces);
        assert_eq!(version(&first), Some(2));
        assert!(!first.state().replicas.of(ItemKind::Configuration).is_behind);
        assert_eq!(first.next_fetch(), None);
    });
}

#[test]
fn lost_and_repeated_pieces_do_no_harm() {
    run(async {
        let (first, second) = behind_and_ahead(&format!("{:>20000}", 2));
        first.note_source_trouble(ItemKind::Configuration, 1);
        let (_, fetch) = first.next_fetch().expect("asks");
        let chunk = second.answer_fetch(&fetch).expect("answers");
        // The question was lost, and is asked again after a while.
        assert_eq!(first.next_fetch(), None);
        sleep(Duration::from_millis(250)).await;
        assert_eq!(first.next_fetch().expect("asks again").1, fetch);
        let (_, second_fetch) = first.take_chunk(chunk.clone()).expect("goes on");
        assert_eq!(second_fetch.offset, chunk.text.len());
        let middle = second.answer_fetch(&second_fetch).expect("answers");
        first.take_chunk(middle.clone());
        // The same piece once more, out of its order.
        first.take_chunk(middle);
        sleep(Duration::from_millis(250)).await;
        assert_eq!(hand_over(&first, &second), 1);
        assert_eq!(version(&first), Some(2));
    });
}

#[test]
fn newer_configuration_replaces_the_one_that_is_being_handed_on() {
    run(async {
        let (first, second) = behind_and_ahead(&format!("{:>20000}", 2));
        first.note_source_trouble(ItemKind::Configuration, 1);
        let (_, fetch) = first.next_fetch().expect("asks");
        let chunk = second.answer_fetch(&fetch).expect("answers");
        let (_, fetch) = first.take_chunk(chunk).expect("goes on");
        configure(
            &second,
            table(3, Vec::new()).with_document(format!("{:>9000}", 3)),
        );
        let chunk = second.answer_fetch(&fetch).expect("answers");
        assert_eq!((chunk.version, chunk.offset), (3, 0));
        let (_, fetch) = first.take_chunk(chunk).expect("goes on");
        let chunk = second.answer_fetch(&fetch).expect("answers");
        assert_eq!(first.take_chunk(chunk), None);
        assert_eq!(version(&first), Some(3));
    });
}

#[test]
fn unreadable_configuration_of_another_node_changes_nothing() {
    run(async {
        let (first, second) = behind_and_ahead("no version");
        first.note_source_trouble(ItemKind::Configuration, 1);
        let (_, fetch) = first.next_fetch().expect("asks");
        let chunk = second.answer_fetch(&fetch).expect("answers");
        assert_eq!(first.take_chunk(chunk), None);
        assert_eq!(version(&first), Some(1));
    });
}
