//! When weights count as published that a watch reports at a source that answers late; on a virtual clock.

mod support;

use std::time::Duration;

use ryerouter_gateway::source::{Item, ItemBatch, ItemChange, ItemKind, NamedWeights};
use support::gateway_bench::{gateway, run_paused};
use support::test_dialect::MODEL;
use tokio::time::sleep;
use yare::parameterized;

/// Older weights may be used for so long after newer ones were published.
const GRACE: Duration = Duration::from_secs(7);
/// Time since the copy of the named weights was last proven current.
const UNPROVEN: Duration = Duration::from_secs(3);
const WATCH: Duration = Duration::from_secs(15);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn named(version: u64) -> Item {
    Item::Weights(NamedWeights {
        model: MODEL.to_owned(),
        version,
    })
}

/// `answered` is the time that the answer to the watch took, `delay` the one that a question beside it took which the
/// source does not hold open. Weights of an answer that did not wait may have been published right after the last proof.
#[parameterized(
    prompt_source_waited = { ms(900), ms(5), true },
    late_source = { ms(900), ms(900), false },
    late_source_waited_little = { ms(1_300), ms(900), false },
    late_source_waited = { ms(2_000), ms(900), true },
)]
fn watch_of_a_late_source_waited_for_what_it_took_longer(
    answered: Duration,
    delay: Duration,
    has_waited: bool,
) {
    run_paused(async move {
        let node = gateway("node-1");
        let now = node.clock().now();
        node.apply_list(ItemKind::Weights, vec![named(1)], 10, now);
        sleep(UNPROVEN - delay).await;
        let asked_at = node.clock().now();
        sleep(delay).await;
        node.note_response_time(asked_at, Duration::ZERO);
        let asked_at = node.clock().now();
        sleep(answered).await;
        let batch = ItemBatch {
            changes: vec![ItemChange::Present(named(2))],
            revision: 11.into(),
            is_whole: true,
        };
        node.apply_watched_batch(ItemKind::Weights, batch, asked_at, WATCH);
        let is_older_allowed = || {
            let now = node.clock().now();
            node.state().deadlines.allows(MODEL, 1, now)
        };
        assert!(is_older_allowed());
        sleep(GRACE - UNPROVEN - answered + ms(10)).await;
        assert_eq!(is_older_allowed(), has_waited);
    });
}
