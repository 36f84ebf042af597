//! Orders that the node that others leave them to does not give, on a virtual clock.

mod support;

use std::time::Duration;

use support::gateway_bench::run_paused;
use support::one_lease::SETTINGS;
use support::ordering_fleet::OrderingFleet;

const SECOND: Duration = Duration::from_secs(1);
/// A version was named so long ago that its engines are long behind.
const LONG_AGO: Duration = Duration::from_secs(6);

#[test]
fn node_tells_that_it_gives_orders_only_while_its_lease_is_valid() {
    run_paused(async {
        let fleet = OrderingFleet::start(3);
        fleet.nodes[0].name_weights(2, LONG_AGO);
        fleet.run(SECOND * 2).await;
        let tells = || fleet.nodes[0].gateway.peer_message(false).gives_orders;
        assert!(tells());
        fleet.nodes[0].stop_rollouts();
        fleet.run(SETTINGS.duration + SECOND).await;
        assert!(!tells());
    });
}
