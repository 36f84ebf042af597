//! At which version interrupted streams go on, and who knows.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{
    Answers, Decision, HOLDERS, Knowledge, Node, Outlook, Register, SETTLING_TIME, Source,
    StreamId, Unresolved, VersionHistory, decide, decide_with_answers, holders_of,
};
use ryerouter_core::identity::{PoolName, TenantName, ZoneName};
use yare::parameterized;

/// Size of the largest deployment to design for.
const LARGE_FLEET: usize = 985;

fn versions(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn began(software: &str) -> Knowledge {
    Knowledge::Began(software.to_owned())
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(millis))
}

fn pool() -> PoolName {
    PoolName::new("pool")
}

#[parameterized(
    own_record = { began("v2"), &["v1"], true, Decision::Continue("v2".to_owned()) },
    only_version = { Knowledge::Unknown, &["v1"], true, Decision::Continue("v1".to_owned()) },
    only_version_of_an_old_list = { Knowledge::Unknown, &["v1"], false, Decision::Ask },
    two_versions = { Knowledge::Unknown, &["v1", "v2"], true, Decision::Ask },
    ambiguous = { Knowledge::Ambiguous, &["v1", "v2"], true, Decision::Refuse(Unresolved::Ambiguous) },
    ambiguous_with_one_version = { Knowledge::Ambiguous, &["v1"], true, Decision::Continue("v1".to_owned()) },
)]
fn node_decides_by_its_record_or_a_single_version(
    knowledge: Knowledge,
    served: &[&str],
    is_certain: bool,
    expected: Decision,
) {
    let outlook = Outlook {
        versions: versions(served),
        is_certain,
        knows_past: is_certain,
        is_whole: is_certain,
        only_recorded: None,
    };
    assert_eq!(decide(knowledge, &outlook), expected);
}

#[parameterized(
    record = { began("v2"), &["v1"], &["v1"], 3, true, Decision::Continue("v2".to_owned()) },
    no_record_of_two = { Knowledge::Unknown, &["v1", "v2"], &[], 3, true, Decision::Refuse(Unresolved::NoRecord) },
    second_version_seen_elsewhere = { Knowledge::Unknown, &["v1"], &["v1", "v2"], 3, true, Decision::Refuse(Unresolved::NoRecord) },
    one_version_everywhere = { Knowledge::Unknown, &["v1"], &["v1"], 1, true, Decision::Continue("v1".to_owned()) },
    nobody_answers = { Knowledge::Unknown, &["v1"], &[], 0, true, Decision::Refuse(Unresolved::NoRecord) },
    nobody_else_there = { Knowledge::Unknown, &["v1"], &[], 0, false, Decision::Continue("v1".to_owned()) },
    ambiguous = { Knowledge::Ambiguous, &["v1", "v2"], &[], 3, true, Decision::Refuse(Unresolved::Ambiguous) },
)]
fn stream_without_record_goes_on_only_where_nobody_saw_a_second_version(
    knowledge: Knowledge,
    own: &[&str],
    told: &[&str],
    count: usize,
    has_peers: bool,
    expected: Decision,
) {
    let outlook = Outlook {
        versions: versions(own),
        is_certain: false,
        knows_past: true,
        is_whole: true,
        only_recorded: None,
    };
    let answers = Answers {
        knowledge,
        versions: versions(told),
        count,
        has_peers,
        know_past: false,
        are_whole: false,
    };
    assert_eq!(decide_with_answers(&outlook, &answers), expected);
}

/// That no node remembers a second version proves nothing while all of them are new.
#[parameterized(
    by_none = { false, false, Decision::Refuse(Unresolved::PastUnknown) },
    by_this_node = { true, false, Decision::Continue("v1".to_owned()) },
    by_another_node = { false, true, Decision::Continue("v1".to_owned()) },
)]
fn one_version_counts_only_where_the_past_is_known(own: bool, peers: bool, expected: Decision) {
    for (count, has_peers) in [(3, true), (0, false)] {
        let outlook = Outlook {
            versions: versions(&["v1"]),
            is_certain: false,
            knows_past: own,
            is_whole: true,
            only_recorded: None,
        };
        let answers = Answers {
            versions: versions(&["v1"]),
            count,
            has_peers,
            know_past: peers,
            ..Answers::default()
        };
        assert_eq!(decide_with_answers(&outlook, &answers), expected);
    }
}

/// Nodes of a zone that is cut off agree as well as those that can't reach the store.
#[parameterized(
    none = { false, false, Decision::Refuse(Unresolved::CutOff) },
    this_node = { true, false, Decision::Continue("v1".to_owned()) },
    another_node = { false, true, Decision::Continue("v1".to_owned()) },
)]
fn agreement_counts_only_where_no_other_node_may_serve(own: bool, peers: bool, expected: Decision) {
    let outlook = Outlook {
        versions: versions(&["v1"]),
        is_certain: false,
        knows_past: true,
        is_whole: own,
        only_recorded: None,
    };
    let answers = Answers {
        versions: versions(&["v1"]),
        count: 3,
        has_peers: true,
        are_whole: peers,
        ..Answers::default()
    };
    assert_eq!(decide_with_answers(&outlook, &answers), expected);
}

/// The store holds one version of two that serve.
#[parameterized(
    without_a_record = { Knowledge::Unknown, Decision::Continue("v1".to_owned()) },
    with_a_record = { began("v2"), Decision::Continue("v2".to_owned()) },
    with_records_of_two = { Knowledge::Ambiguous, Decision::Refuse(Unresolved::Ambiguous) },
)]
fn stream_goes_on_at_the_only_recorded_version(knowledge: Knowledge, expected: Decision) {
    let outlook = Outlook {
        versions: versions(&["v1", "v2"]),
        only_recorded: Some("v1".to_owned()),
        ..Outlook::default()
    };
    let answers = Answers {
        knowledge,
        ..Answers::default()
    };
    assert_eq!(decide_with_answers(&outlook, &answers), expected);
}

#[test]
fn id_of_another_tenant_or_pool_names_another_stream() {
    let tenant = |name| TenantName::new(name);
    let (first, second) = (tenant("a"), tenant("b"));
    let ids = [
        StreamId::new(None, &pool(), "r1"),
        StreamId::new(Some(&first), &pool(), "r1"),
        StreamId::new(Some(&second), &pool(), "r1"),
        StreamId::new(Some(&first), &PoolName::new("other"), "r1"),
        StreamId::new(Some(&first), &pool(), "r2"),
    ];
    let mut different = ids.to_vec();
    different.sort_unstable();
    different.dedup();
    assert_eq!(different.len(), ids.len());
}

#[test]
fn record_lapses_and_is_renewed() {
    let mut register = Register::default();
    let (first, second) = (StreamId(1), StreamId(2));
    register.note(first, &pool(), "v1", Source::Own, at(0));
    register.note(second, &pool(), "v2", Source::Peer, at(0));
    register.note(first, &pool(), "v1", Source::Peer, at(100_000));
    let pool = pool();
    let own: Vec<_> = register
        .own_since(&pool, Duration::from_secs(30), at(110_000))
        .collect();
    assert_eq!(own, [(first, &"v1".to_owned())]);
    register.expire(at(130_000));
    assert_eq!(register.get(first, at(130_000)), began("v1"));
    assert_eq!(register.get(second, at(130_000)), Knowledge::Unknown);
    assert_eq!(register.len(), 1);
}

#[test]
fn two_versions_under_one_id_are_ambiguous() {
    let mut register = Register::default();
    register.note(StreamId(1), &pool(), "v1", Source::Own, at(0));
    register.note(StreamId(1), &pool(), "v2", Source::Peer, at(1));
    register.note(StreamId(1), &pool(), "v1", Source::Own, at(2));
    assert_eq!(register.get(StreamId(1), at(3)), Knowledge::Ambiguous);
}

/// A node holds no more than so many records, whatever callers send.
#[test]
fn records_are_bounded() {
    let mut register = Register::default();
    for index in 0..200_000 {
        register.note(
            StreamId(index),
            &pool(),
            "v1",
            Source::Peer,
            at(index / 100),
        );
    }
    assert!(register.len() <= 65_536, "{}", register.len());
    assert_eq!(register.get(StreamId(199_999), at(2_000)), began("v1"));
}

#[test]
fn version_that_has_left_is_remembered_as_long_as_its_streams() {
    let mut history = VersionHistory::default();
    assert!(!history.note_listed(&pool(), "v1", at(0)));
    assert!(!history.is_mixed(&pool(), at(0)));
    assert!(history.note_told(&pool(), "v2", at(500), at(1_000)));
    assert!(!history.note_told(&pool(), "v2", at(900), at(1_400)));
    history.note_listed(&pool(), "v1", at(100_000));
    assert_eq!(history.versions(&pool(), at(100_000)), ["v1", "v2"]);
    assert_eq!(history.versions(&pool(), at(121_000)), ["v1"]);
}

/// What others told is not passed on, or nodes would remind each other of a version for ever.
#[test]
fn only_versions_of_the_own_list_are_told() {
    let mut history = VersionHistory::default();
    history.note_listed(&pool(), "v1", at(0));
    history.note_told(&pool(), "v2", at(0), at(0));
    let told: Vec<_> = history.listed_in_mixed_pools(at(10)).collect();
    let software = "v1".to_owned();
    let expected = vec![(&software, Duration::from_millis(10))];
    assert_eq!(told, [(&pool(), expected)]);
}

#[test]
fn new_version_waits_until_all_nodes_know_it() {
    let mut history = VersionHistory::default();
    history.note_listed(&pool(), "v1", at(0));
    assert!(
        history.unsettled(&pool(), at(0)).is_empty(),
        "there is no other"
    );
    history.note_listed(&pool(), "v2", at(5_000));
    assert_eq!(history.unsettled(&pool(), at(5_100)), ["v2"]);
    let settled = at(5_000).after(SETTLING_TIME);
    assert!(history.unsettled(&pool(), settled).is_empty());
}

/// Each node holds about as many records in a large deployment as in a small one, and a node that leaves moves few.
#[parameterized(
    small = { 30 },
    large = { LARGE_FLEET },
)]
fn records_are_spread_evenly_and_over_zones(count: usize) {
    const STREAMS_PER_NODE: usize = 20;
    let zones: Vec<_> = (0..3)
        .map(|zone| ZoneName::new(format!("z{zone}")))
        .collect();
    let nodes = |without: Option<usize>| {
        let present = (0..count).filter(move |index| Some(*index) != without);
        present.map(|index| Node {
            key: index,
            name_hash: xxhash_rust::xxh3::xxh3_64(format!("node-{index}").as_bytes()),
            zone: &zones[index % 3],
        })
    };
    let mut held: BTreeMap<usize, usize> = BTreeMap::new();
    let mut moved = 0;
    let streams = count * STREAMS_PER_NODE;
    for stream in 0..streams {
        let id = StreamId::new(None, &pool(), &format!("r{stream}"));
        let holders = holders_of(id, nodes(None));
        assert_eq!(holders.len(), HOLDERS);
        let of_zones: std::collections::BTreeSet<_> =
            holders.iter().map(|holder| holder % 3).collect();
        assert_eq!(of_zones.len(), HOLDERS);
        let later = holders_of(id, nodes(Some(0)));
        let is_kept = |holder: &&usize| later.contains(holder);
        moved += HOLDERS - holders.iter().filter(is_kept).count();
        for holder in holders {
            *held.entry(holder).or_default() += 1;
        }
        if stream == 3_000 {
            break;
        }
    }
    let streams = streams.min(3_001);
    let share = moved as f64 / (streams * HOLDERS) as f64;
    assert!(share < 3.0 / count as f64, "{share} of records moved");
    let mean = (streams * HOLDERS) as f64 / count as f64;
    let most = held.values().copied().max().unwrap_or_default() as f64;
    assert!(most < 4.0 * mean + 4.0, "{most} of {mean}");
}
