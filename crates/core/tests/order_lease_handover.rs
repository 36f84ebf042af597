//! Handing a lease over: given up, taken back by the same node, heard of from others.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::control::{
    ObjectKey, Precondition, StoreAnswer, StoreCall, StoreValue, StoreVersion, StoredObject,
};
use ryerouter_core::identity::{FencingNumber, Incarnation, NodeName};
use ryerouter_core::order::{
    HeldLease, LeaseAction, LeaseEvent, LeaseHolder, LeaseRecord, LeaseSettings,
};
use yare::parameterized;

const SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_secs(2),
    renew_interval: Duration::from_millis(500),
    look_interval: Duration::from_millis(500),
    takeover_margin: Duration::from_secs(3),
    release_margin: Duration::from_secs(3),
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn holder(name: &str) -> LeaseHolder {
    LeaseHolder::new("orders", NodeName::new(name), Incarnation(9), SETTINGS)
}

fn record(holder: Option<&str>) -> LeaseRecord {
    LeaseRecord {
        holder: holder.map(NodeName::new),
        incarnation: Incarnation(1),
        fencing_number: FencingNumber(4),
        renewal: 2,
    }
}

fn handle(lease: &mut LeaseHolder, event: LeaseEvent, millis: u64) -> Vec<LeaseAction> {
    let mut actions = Vec::new();
    lease.handle(event, at(millis), &mut actions);
    actions
}

/// The number and condition of the write among these actions.
fn write(actions: &[LeaseAction]) -> Option<(FencingNumber, Precondition)> {
    actions.iter().find_map(|action| match action {
        LeaseAction::Call(StoreCall::Put {
            value: StoreValue::Lease(record),
            precondition,
            ..
        }) => Some((record.fencing_number, *precondition)),
        _ => None,
    })
}

/// A candidate that has read this record at time 0.
fn candidate_that_saw(name: &str, record: LeaseRecord) -> LeaseHolder {
    let mut lease = holder(name);
    handle(&mut lease, LeaseEvent::Candidacy(true), 0);
    let found = StoredObject {
        key: ObjectKey::Lease("orders".to_owned()),
        version: StoreVersion(7),
        value: StoreValue::Lease(record),
    };
    let answer = StoreAnswer::Found(found);
    handle(&mut lease, LeaseEvent::StoreAnswered(answer), 0);
    lease
}

#[parameterized(
    of_another_node = { Some("other"), 5_000 },
    given_up = { None, 3_000 },
)]
fn lease_is_taken_only_after_its_time(former: Option<&str>, millis: u64) {
    let mut early = candidate_that_saw("own", record(former));
    assert_eq!(
        write(&handle(&mut early, LeaseEvent::Tick, millis - 1)),
        None
    );
    let mut late = candidate_that_saw("own", record(former));
    let taken = write(&handle(&mut late, LeaseEvent::Tick, millis));
    let condition = Precondition::Version(StoreVersion(7));
    assert_eq!(taken, Some((FencingNumber(5), condition)));
}

#[test]
fn restarted_node_takes_its_own_lease_back_at_once_with_a_higher_number() {
    let mut lease = candidate_that_saw("own", record(Some("own")));
    let taken = write(&handle(&mut lease, LeaseEvent::Tick, 600));
    let condition = Precondition::Version(StoreVersion(7));
    assert_eq!(taken, Some((FencingNumber(5), condition)));
}

#[test]
fn what_others_saw_earlier_shortens_the_wait() {
    let mut lease = holder("own");
    let heard = LeaseEvent::Heard {
        record: record(Some("other")),
        version: StoreVersion(7),
        age: Duration::from_millis(4_000),
    };
    handle(&mut lease, heard, 0);
    assert_eq!(
        write(&handle(&mut lease, LeaseEvent::Candidacy(true), 900)),
        None
    );
    let mut lease = holder("own");
    let heard = LeaseEvent::Heard {
        record: record(Some("other")),
        version: StoreVersion(7),
        age: Duration::from_millis(4_000),
    };
    handle(&mut lease, heard, 0);
    let taken = write(&handle(&mut lease, LeaseEvent::Candidacy(true), 1_000));
    assert!(taken.is_some());
}

#[test]
fn older_news_do_not_replace_what_was_seen() {
    let mut lease = candidate_that_saw("own", record(Some("other")));
    let heard = LeaseEvent::Heard {
        record: record(None),
        version: StoreVersion(6),
        age: Duration::from_secs(60),
    };
    handle(&mut lease, heard, 100);
    assert_eq!(write(&handle(&mut lease, LeaseEvent::Tick, 4_000)), None);
}

#[test]
fn holder_that_stops_gives_the_lease_up_without_waiting_for_its_renewal() {
    let mut lease = candidate_that_saw("own", record(Some("own")));
    handle(&mut lease, LeaseEvent::Tick, 600);
    let written = StoreAnswer::Written {
        version: StoreVersion(8),
    };
    handle(&mut lease, LeaseEvent::StoreAnswered(written), 610);
    assert!(lease.held(at(620)).is_some());
    let actions = handle(&mut lease, LeaseEvent::Candidacy(false), 620);
    assert!(lease.held(at(620)).is_none());
    assert!(write(&actions).is_some());
}

/// A store that was restored to version 6, in which this node holds the lease, answers a call.
fn restored_store(call: &StoreCall) -> StoreAnswer {
    match call {
        StoreCall::Put { precondition, .. } => match precondition {
            Precondition::Version(StoreVersion(6)) => StoreAnswer::Written {
                version: StoreVersion(7),
            },
            _ => StoreAnswer::Conflict { version: None },
        },
        _ => StoreAnswer::Found(StoredObject {
            key: ObjectKey::Lease("orders".to_owned()),
            version: StoreVersion(6),
            value: StoreValue::Lease(LeaseRecord {
                fencing_number: FencingNumber(2),
                ..record(Some("own"))
            }),
        }),
    }
}

/// The candidate has seen version 7, which another node held; all its reads show version 6, the
/// first after 500 ms. It stands still for a while after 2 s.
#[parameterized(
    after_the_time_of_a_lease = { 6_100, 0, true },
    not_sooner = { 4_000, 0, false },
    of_consecutive_reads_only = { 6_700, 4_000, false },
)]
fn older_reads_count_after_the_time_of_a_lease(until: u64, pause: u64, expected: bool) {
    let mut lease = candidate_that_saw("own", record(Some("other")));
    let resumed = 2_000 + pause;
    for millis in (0..until).step_by(100) {
        if (2_000..resumed).contains(&millis) {
            continue;
        }
        let mut waiting = handle(&mut lease, LeaseEvent::Tick, millis);
        while let Some(action) = waiting.pop() {
            if let LeaseAction::Call(call) = action {
                let answer = LeaseEvent::StoreAnswered(restored_store(&call));
                waiting.extend(handle(&mut lease, answer, millis));
            }
        }
    }
    let held = lease.held(at(until));
    assert_eq!(held.is_some(), expected);
    // Higher than any that was seen, also in what the store has lost.
    let is_higher = |held: HeldLease| held.fencing_number >= FencingNumber(5);
    assert!(held.is_none_or(is_higher));
}
