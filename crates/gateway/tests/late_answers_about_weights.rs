//! When weights count as published that an answer of the source reports late; on a virtual clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind, NamedWeights};
use support::gateway_bench::{gateway, run_paused};
use support::test_dialect::MODEL;
use tokio::time::sleep;
use yare::parameterized;

/// Older weights may be used for so long after newer ones were published.
const GRACE: Duration = Duration::from_secs(7);
/// An answer that comes so late is not one of a quick source.
const LATE: Duration = Duration::from_millis(900);
/// Time since the copy of the named weights was last proven current.
const UNPROVEN: Duration = Duration::from_secs(4);

fn named(version: u64) -> Item {
    Item::Weights(NamedWeights {
        model: MODEL.to_owned(),
        version,
    })
}

fn batch() -> ItemBatch {
    ItemBatch {
        changes: vec![ItemChange::Present(named(2))],
        revision: 11.into(),
        is_whole: true,
    }
}

/// A node that has read the first version, and has had no proof since.
async fn node() -> Rc<Gateway> {
    let node = gateway("node-1");
    let now = node.clock().now();
    node.apply_list(ItemKind::Weights, vec![named(1)], 10, now);
    sleep(UNPROVEN).await;
    node
}

fn is_older_allowed(node: &Gateway) -> bool {
    let now = node.clock().now();
    node.state().deadlines.allows(MODEL, 1, now)
}

#[derive(Debug, Clone, Copy)]
enum Answer {
    /// To a question that the source does not hold open.
    Probe,
    /// The same, which may have left out later changes.
    FirstChanges,
    List,
}

/// They may have been published right after the copy was last proven.
#[parameterized(
    probe = { Answer::Probe },
    first_changes = { Answer::FirstChanges },
    list = { Answer::List },
)]
fn weights_that_a_late_answer_reports_count_as_published_when_it_comes(answer: Answer) {
    run_paused(async move {
        let node = node().await;
        let asked_at = node.clock().now();
        sleep(LATE).await;
        match answer {
            Answer::Probe => node.apply_batch(ItemKind::Weights, batch(), Some(asked_at)),
            Answer::FirstChanges => {
                let first = ItemBatch {
                    is_whole: false,
                    ..batch()
                };
                node.apply_batch(ItemKind::Weights, first, Some(asked_at));
            }
            Answer::List => node.apply_list(ItemKind::Weights, vec![named(2)], 11, asked_at),
        }
        assert!(is_older_allowed(&node));
        sleep(GRACE - UNPROVEN - LATE + Duration::from_millis(10)).await;
        assert!(!is_older_allowed(&node));
    });
}

/// The grace begins then, though the copy was last proven long before.
#[test]
fn weights_that_a_watch_waited_for_count_as_published_when_it_reports_them() {
    run_paused(async {
        let node = node().await;
        let asked_at = node.clock().now();
        sleep(LATE).await;
        let wait = Duration::from_secs(15);
        node.apply_watched_batch(ItemKind::Weights, batch(), asked_at, wait);
        sleep(GRACE - Duration::from_millis(10)).await;
        assert!(is_older_allowed(&node));
        sleep(Duration::from_millis(20)).await;
        assert!(!is_older_allowed(&node));
    });
}
