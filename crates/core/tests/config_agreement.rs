//! Agreement on the configuration: races, lost answers, stale knowledge, loss of the object API.

mod support;

use std::time::Duration;

use ryerouter_core::config::{Change, ChangeRefusal, Expectation};
use ryerouter_core::identity::ResourceVersion;
use support::{VirtualCluster, change, put, tenant};
use yare::parameterized;

const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

fn formed(seed: u64) -> VirtualCluster {
    let mut cluster = VirtualCluster::started(6, 4, seed);
    cluster.run_seconds(10);
    cluster
}

fn put_tenant(id: &str, name: &str, weight: u32, expected: Expectation) -> Change {
    change(id, vec![put(tenant(name, weight), expected)])
}

fn weight(cluster: &VirtualCluster, node: usize, name: &str) -> Option<u32> {
    let catalog = &cluster.nodes[node].snapshot.catalog;
    catalog
        .tenants
        .get(&name.into())
        .map(|tenant| tenant.weight)
}

#[test]
fn an_accepted_change_is_in_force_everywhere_in_seconds_with_a_lossy_network() {
    let mut cluster = formed(31);
    cluster.loss = 0.1;
    let accepted = cluster.apply(5, put_tenant("a", "tenant", 2, Expectation::Absent));
    assert_eq!(accepted.map(|accepted| accepted.version.0), Ok(1));
    let spread = cluster.run_until(IN_FORCE_LIMIT, |cluster| cluster.all_at(1));
    assert!(spread.is_some());
}

#[test]
fn of_racing_operators_one_wins_and_the_other_is_told_who() {
    let mut cluster = formed(32);
    cluster
        .apply(0, put_tenant("first", "tenant", 1, Expectation::Absent))
        .unwrap();
    let expected = Expectation::Version(ResourceVersion(1));
    cluster.run_seconds(5);
    let operations: Vec<_> = (0..8)
        .map(|node| {
            let id = format!("racer-{node}");
            cluster.submit(node, put_tenant(&id, "tenant", 10 + node as u32, expected))
        })
        .collect();
    cluster.run_seconds(15);
    let (won, lost): (Vec<_>, Vec<_>) = operations
        .iter()
        .map(|operation| cluster.answers[operation].clone())
        .partition(Result::is_ok);
    assert_eq!((won.len(), lost.len()), (1, 7));
    let weight = weight(&cluster, 0, "tenant").unwrap();
    for refusal in lost {
        let Err(ChangeRefusal::Stale { author, actual, .. }) = refusal else {
            panic!("{refusal:?}");
        };
        assert_eq!(actual, Some(ResourceVersion(2)));
        assert_eq!(author, format!("author of racer-{}", weight - 10));
    }
}

#[test]
fn racing_changes_of_different_resources_are_all_accepted() {
    let mut cluster = formed(33);
    let operations: Vec<_> = (0..24)
        .map(|node| {
            let name = format!("tenant-{node}");
            cluster.submit(node, put_tenant(&name, &name, 1, Expectation::Absent))
        })
        .collect();
    cluster.run_seconds(20);
    for operation in operations {
        assert!(cluster.answers[&operation].is_ok());
    }
    assert!(cluster.all_at(24));
}

#[parameterized(
    once = { 1 },
    twice = { 2 },
    many_times = { 5 },
)]
fn a_change_whose_answer_is_lost_is_settled_as_accepted_once(lost: u32) {
    let mut cluster = formed(34);
    cluster.store.lose_answers = lost;
    let accepted = cluster.apply(3, put_tenant("a", "tenant", 1, Expectation::Absent));
    assert_eq!(accepted.map(|accepted| accepted.version.0), Ok(1));
    assert_eq!(cluster.store.log_length(), 1);
}

#[test]
fn a_write_that_lands_after_its_failure_takes_effect_once() {
    let mut cluster = formed(35);
    cluster.store.delay_writes = 1;
    let operation = cluster.submit(3, put_tenant("a", "tenant", 1, Expectation::Any));
    cluster.run_seconds(3);
    cluster.store.land_late_writes();
    cluster.run_seconds(20);
    assert_eq!(
        cluster.answers[&operation].clone().map(|a| a.version.0),
        Ok(1)
    );
    assert_eq!(cluster.store.log_length(), 1);
    assert!(cluster.all_at(1));
}

#[test]
fn an_unsettled_change_is_told_as_unknown_and_settled_by_its_id_at_another_node() {
    let mut cluster = formed(36);
    cluster
        .apply(0, put_tenant("first", "other", 1, Expectation::Absent))
        .unwrap();
    cluster.store.lose_answers = 1;
    let operation = cluster.submit(3, put_tenant("a", "tenant", 1, Expectation::Any));
    let others: Vec<usize> = (0..24).filter(|node| *node != 3).collect();
    cluster.partition(&[3], &others);
    cluster.run_until(Duration::from_secs(1), |cluster| {
        cluster.store.log_length() == 2
    });
    cluster.store.down = true;
    cluster.run_seconds(15);
    cluster.heal();
    let answer = cluster.answers[&operation].clone();
    assert!(
        matches!(answer, Err(ChangeRefusal::OutcomeUnknown { .. })),
        "{answer:?}"
    );
    cluster.store.down = false;
    let repeated = cluster
        .apply(9, put_tenant("a", "tenant", 1, Expectation::Any))
        .unwrap();
    assert_eq!((repeated.version.0, repeated.repeated), (2, true));
    assert_eq!(cluster.store.log_length(), 2);
}

#[test]
fn with_the_store_down_a_change_is_told_as_not_written_and_is_not() {
    let mut cluster = formed(37);
    cluster.store.down = true;
    let answer = cluster.apply(3, put_tenant("a", "tenant", 1, Expectation::Any));
    assert!(
        matches!(answer, Err(ChangeRefusal::StoreUnavailable { .. })),
        "{answer:?}"
    );
    cluster.store.down = false;
    cluster.run_seconds(30);
    assert_eq!(cluster.store.log_length(), 0);
}

#[test]
fn the_same_change_id_takes_effect_once_and_is_refused_for_another_change() {
    let mut cluster = formed(38);
    cluster
        .apply(0, put_tenant("a", "tenant", 1, Expectation::Any))
        .unwrap();
    cluster
        .apply(1, put_tenant("b", "tenant", 2, Expectation::Any))
        .unwrap();
    let repeated = cluster
        .apply(2, put_tenant("a", "tenant", 1, Expectation::Any))
        .unwrap();
    assert_eq!((repeated.version.0, repeated.repeated), (1, true));
    assert_eq!(weight(&cluster, 2, "tenant"), Some(2));
    let reused = cluster.apply(2, put_tenant("a", "tenant", 9, Expectation::Any));
    assert!(
        matches!(reused, Err(ChangeRefusal::ChangeIdReused { .. })),
        "{reused:?}"
    );
}

#[test]
fn an_operator_may_go_to_a_node_that_is_behind() {
    let mut cluster = formed(39);
    let others: Vec<usize> = (0..24).filter(|node| *node != 8).collect();
    cluster.partition(&[8], &others);
    let first = cluster
        .apply(0, put_tenant("a", "tenant", 1, Expectation::Absent))
        .unwrap();
    let expected = Expectation::Version(ResourceVersion(first.version.0));
    let second = cluster.apply(8, put_tenant("b", "tenant", 2, expected));
    assert_eq!(second.map(|accepted| accepted.version.0), Ok(2));
}

#[test]
fn a_dry_run_checks_and_writes_nothing() {
    let mut cluster = formed(40);
    let operation = cluster.submit_with(2, put_tenant("a", "tenant", 0, Expectation::Any), true);
    let valid = cluster.submit_with(2, put_tenant("b", "tenant", 1, Expectation::Any), true);
    cluster.run_seconds(5);
    assert!(matches!(
        cluster.answers[&operation],
        Err(ChangeRefusal::Invalid { .. })
    ));
    let accepted = cluster.answers[&valid].clone().unwrap();
    assert!(accepted.dry_run);
    assert_eq!(cluster.store.log_length(), 0);
}
