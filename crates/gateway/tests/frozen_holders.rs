//! Nodes whose process stands still while they hold the lease of orders or would take it, on a
//! virtual clock.

mod support;

use std::time::Duration;

use support::gateway_bench::run_paused;
use support::one_lease::SETTINGS;
use support::ordering_fleet::OrderingFleet;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);
const LONG_AGO: Duration = Duration::from_secs(6);
const FREEZE: Duration = Duration::from_millis(5_500);
/// Longest time that a takeover takes: the lease runs out, and its margin; a look, a heartbeat, the
/// time for an engine to drain, and three ticks.
const TAKEOVER: Duration = Duration::from_millis(1_350 + 3_300 + 600 + 200 + 400 + 150);

fn assert_one_holder(fleet: &OrderingFleet) {
    let holds = |index: &usize| {
        let gateway = &fleet.nodes[*index].gateway;
        gateway.valid_order_fence().is_some()
    };
    let holders = (0..fleet.nodes.len()).filter(holds);
    assert_eq!(holders.count(), 1);
    let pause = fleet.shortest_handover().unwrap_or(SETTINGS.release_margin);
    assert!(pause >= SETTINGS.release_margin, "{pause:?}");
}

async fn freeze(fleet: &OrderingFleet, index: usize) {
    fleet.nodes[index].is_frozen.set(true);
    fleet.run(FREEZE).await;
    fleet.nodes[index].is_frozen.set(false);
}

/// The freeze begins at any point of a renewal: before it, with its call on the way, after it.
#[test]
fn orders_go_on_when_holders_stand_still_one_after_another() {
    for phase in (0..900).step_by(10) {
        run_paused(async move {
            let fleet = OrderingFleet::start(3);
            for node in &fleet.nodes {
                node.name_weights(2, LONG_AGO);
            }
            fleet.run(SECOND * 2).await;
            sleep(Duration::from_millis(phase)).await;
            for _ in 0..3 {
                let holder = fleet.holder().expect("holder");
                freeze(&fleet, holder).await;
                fleet.run(SECOND * 8).await;
            }
            assert_one_holder(&fleet);
            let pause = fleet.longest_pause();
            assert!(pause < TAKEOVER, "phase {phase} ms: {pause:?}");
        });
    }
}

/// The former holder stands still until up to a second after the version is named.
#[test]
fn version_that_is_named_while_the_former_holder_stands_still_is_ordered() {
    for named_before_end in (0..=1_000).step_by(20) {
        run_paused(async move {
            let fleet = OrderingFleet::start(3);
            for node in &fleet.nodes {
                node.name_weights(2, LONG_AGO);
            }
            fleet.run(SECOND * 2).await;
            fleet.note_weights(2);
            fleet.run(SECOND * 10).await;
            let given = fleet.orders();
            fleet.nodes[0].is_frozen.set(true);
            fleet.run(FREEZE - SECOND).await;
            sleep(Duration::from_millis(1_000 - named_before_end)).await;
            for node in &fleet.nodes[1..] {
                node.name_weights(3, Duration::ZERO);
            }
            sleep(Duration::from_millis(named_before_end)).await;
            fleet.nodes[0].is_frozen.set(false);
            fleet.nodes[0].name_weights(3, Duration::from_millis(named_before_end));
            fleet.run(SECOND * 7).await;
            assert!(fleet.orders() > given, "named {named_before_end} ms before");
            fleet.run(SECOND * 10).await;
            assert_one_holder(&fleet);
        });
    }
}
