//! A newest configuration that can't be read or is gone, on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind};
use support::gateway_bench::{gateway, run_paused};
use support::records::table;
use tokio::time::sleep;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn configuration(version: u64) -> Item {
    Item::Configuration(Rc::new(table(version, Vec::new())))
}

fn tell(node: &Gateway, revision: u64, items: Vec<Item>) {
    let changes = items.into_iter().map(ItemChange::Present);
    tell_changes(node, revision, changes.collect());
}

fn tell_changes(node: &Gateway, revision: u64, changes: Vec<ItemChange>) {
    let batch = ItemBatch {
        is_whole: changes.is_empty(),
        changes,
        revision: revision.into(),
    };
    let now = node.clock().now();
    node.apply_batch(ItemKind::Configuration, batch, Some(now));
}

fn list(node: &Gateway, revision: u64, items: Vec<Item>) {
    let now = node.clock().now();
    node.apply_list(ItemKind::Configuration, items, revision, now);
}

fn age(node: &Gateway) -> Option<Duration> {
    let now = node.clock().now();
    node.state().freshness().age(now)
}

#[derive(Debug, Clone, Copy)]
enum Told {
    Watch,
    List,
    GoneByWatch,
    EmptyList,
}

/// What the newest configuration takes away would stay in force.
#[parameterized(
    unreadable_by_watch = { Told::Watch },
    unreadable_by_list = { Told::List },
    gone_by_watch = { Told::GoneByWatch },
    not_listed = { Told::EmptyList },
)]
fn older_configuration_is_not_proven_while_the_newest_is_not_shown(told: Told) {
    run_paused(async move {
        let node = gateway("node-1");
        list(&node, 10, vec![configuration(1)]);
        sleep(SECOND).await;
        match told {
            Told::Watch => tell(&node, 11, vec![Item::UnreadableConfiguration]),
            Told::List => list(&node, 11, vec![Item::UnreadableConfiguration]),
            Told::GoneByWatch => tell_changes(&node, 11, vec![ItemChange::Gone("main".to_owned())]),
            Told::EmptyList => list(&node, 11, Vec::new()),
        }
        for _ in 0..3 {
            sleep(SECOND).await;
            tell(&node, 11, Vec::new());
        }
        assert_eq!(age(&node), Some(4 * SECOND));
        assert_eq!(node.configuration_version(), Some(1));
    });
}

#[test]
fn configuration_that_follows_an_unreadable_one_is_proven() {
    run_paused(async {
        let node = gateway("node-1");
        list(&node, 10, vec![configuration(1)]);
        tell(&node, 11, vec![Item::UnreadableConfiguration]);
        sleep(SECOND).await;
        tell(&node, 12, vec![configuration(3)]);
        tell(&node, 12, Vec::new());
        assert_eq!(age(&node), Some(Duration::ZERO));
        assert_eq!(node.configuration_version(), Some(3));
    });
}
