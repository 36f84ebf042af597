//! A reader of the change log whose connections to the object API have fallen silent: nothing comes
//! any more, and nothing breaks.

use std::sync::Arc;

use ryerouter_core::Timestamp;
use ryerouter_core::config::{Change, ConfigReplica, LogEntry, LogReader};
use ryerouter_core::control::{
    ControlAction, ObjectKey, Outbox, StoreAnswer, StoreCall, StoreFailure, StoreRequestId,
    StoreRevision, StoreValue, StoreVersion, StoredObject, WatchEvent,
};
use ryerouter_core::identity::{ChangeId, ConfigVersion};

/// Revision of the store that the reader's list shows.
const LISTED_AT: u64 = 5;

struct Bench {
    reader: LogReader,
    replica: ConfigReplica,
    outbox: Outbox,
}

impl Bench {
    /// A reader that has listed a log of one entry and watches it from then on.
    fn watching() -> Self {
        let mut bench = Self {
            reader: LogReader::default(),
            replica: ConfigReplica::default(),
            outbox: Outbox::default(),
        };
        bench.replica.append(&entry(1));
        bench.reader.set_active(true, &mut bench.outbox);
        let listing = bench.asked().expect("a list is asked for").0;
        let listed = StoreAnswer::Listed {
            revision: StoreRevision(LISTED_AT),
            objects: vec![object(1)],
        };
        bench.answer(listing, listed, 0);
        assert_eq!(bench.watched_from(), Some(LISTED_AT + 1));
        bench
    }

    fn tick(&mut self, seconds: u64) {
        self.reader
            .tick(&self.replica, at(seconds), &mut self.outbox);
    }

    fn answer(&mut self, request: StoreRequestId, answer: StoreAnswer, seconds: u64) {
        let now = at(seconds);
        self.reader
            .store_answered(request, answer, &mut self.replica, now, &mut self.outbox);
    }

    fn watch_tells(&mut self, version: u64, revision: u64, seconds: u64) {
        let event = WatchEvent::Written {
            revision: StoreRevision(revision),
            object: object(version),
        };
        self.reader
            .watch(event, &mut self.replica, at(seconds), &mut self.outbox);
    }

    /// The entry asked for by its key at this time, and the request.
    fn check(&mut self, seconds: u64) -> Option<(StoreRequestId, u64)> {
        self.tick(seconds);
        self.asked_entry()
    }

    fn asked_entry(&mut self) -> Option<(StoreRequestId, u64)> {
        match self.asked()? {
            (
                request,
                StoreCall::Get {
                    key: ObjectKey::ConfigLog(version),
                },
            ) => Some((request, version.0)),
            (_, call) => panic!("asked {call:?}"),
        }
    }

    fn asked(&mut self) -> Option<(StoreRequestId, StoreCall)> {
        self.actions().into_iter().find_map(|action| match action {
            ControlAction::StoreRequest { id, call } => Some((id, call)),
            _ => None,
        })
    }

    fn watched_from(&mut self) -> Option<u64> {
        self.actions().into_iter().find_map(|action| match action {
            ControlAction::StartWatch { from, .. } => Some(from.0),
            _ => None,
        })
    }

    fn actions(&mut self) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        self.outbox.drain_into(&mut actions);
        actions
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn entry(version: u64) -> Arc<LogEntry> {
    Arc::new(LogEntry {
        version: ConfigVersion(version),
        written_at: Timestamp::ZERO,
        change: Change {
            change_id: ChangeId::new(format!("change-{version}")),
            author: "test".to_owned(),
            mutations: Vec::new(),
        },
    })
}

fn object(version: u64) -> StoredObject {
    StoredObject {
        key: ObjectKey::ConfigLog(ConfigVersion(version)),
        version: StoreVersion(1),
        value: StoreValue::ConfigEntry(entry(version)),
    }
}

fn no_answer() -> StoreAnswer {
    StoreAnswer::Failed(StoreFailure::Unavailable {
        detail: "no answer in time".to_owned(),
    })
}

#[test]
fn a_check_without_an_answer_is_made_again_soon() {
    let mut bench = Bench::watching();
    let (request, version) = bench.check(10).expect("a check is made");
    assert_eq!(version, 2);

    bench.answer(request, no_answer(), 12);

    assert!(
        bench.check(12).is_none(),
        "a store in trouble is not pressed"
    );
    let (_, version) = bench.check(13).expect("the check is made again");
    assert_eq!(version, 2);
}

#[test]
fn a_watch_that_did_not_tell_of_an_entry_is_opened_again() {
    let mut bench = Bench::watching();
    let (request, _) = bench.check(10).expect("a check is made");

    bench.answer(request, StoreAnswer::Found(object(2)), 10);

    assert_eq!(bench.replica.version(), ConfigVersion(2));
    let (request, version) = bench.asked_entry().expect("the next entry is asked for");
    assert_eq!(version, 3);
    bench.answer(request, StoreAnswer::NotFound, 10);
    assert_eq!(bench.watched_from(), Some(LISTED_AT + 1));
}

#[test]
fn a_watch_that_did_not_tell_what_peers_told_is_opened_again() {
    let mut bench = Bench::watching();
    bench.watch_tells(2, 7, 1);
    bench.replica.append(&entry(3));
    let (request, _) = bench.check(10).expect("a check is made");
    bench.answer(request, StoreAnswer::NotFound, 10);
    assert_eq!(bench.watched_from(), None, "the entry may be on its way");

    bench.tick(20);

    assert_eq!(bench.watched_from(), Some(8));
}

#[test]
fn a_watch_that_tells_of_every_entry_stays() {
    let mut bench = Bench::watching();
    for version in 2..8 {
        let seconds = version * 10;
        bench.watch_tells(version, LISTED_AT + version, seconds - 1);
        let (request, _) = bench.check(seconds).expect("a check is made");
        bench.answer(request, StoreAnswer::NotFound, seconds);
        assert_eq!(bench.watched_from(), None);
    }
}

#[test]
fn a_gap_that_the_watch_showed_itself_does_not_open_it_again() {
    let mut bench = Bench::watching();
    bench.watch_tells(3, 8, 1);
    let (request, version) = bench.asked_entry().expect("the entry between is asked for");
    assert_eq!(version, 2);

    bench.answer(request, StoreAnswer::Found(object(2)), 1);

    let actions = bench.actions();
    let opens = |action: &ControlAction| matches!(action, ControlAction::StartWatch { .. });
    assert!(!actions.iter().any(opens));
}
