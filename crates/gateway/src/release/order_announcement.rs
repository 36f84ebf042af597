//! Announces orders that no node directs yet.

use slog::info;

use super::recorded_grant::initial_grant;
use super::{KnownOrder, Orders};
use crate::gateway::Gateway;

/// Announces open orders to the nodes while this node does not hold the lease that it needs to direct them.
/// Acquiring the lease may take long if the source is slow, refuses, or waits for the lease of a failed node to
/// expire. Nodes that do not know of the order treat the engines of its target version as engines that need no
/// order, and send them a full share of the requests.
pub(super) fn announce_orders(gateway: &Gateway, orders: &Orders) {
    let open = orders.iter().filter(|known| KnownOrder::is_open(known));
    for release in open.map(|known| &known.release) {
        let known = gateway.known_grant(&release.order.pool);
        let grant = initial_grant(release, known.is_some());
        if known.is_none_or(|(known, _)| grant.supersedes(&known)) {
            info!(gateway.log(), "release_heard"; "pool" => %grant.order.pool,
                "target" => &grant.order.target, "revision" => grant.revision);
            gateway.publish_grant(grant);
        }
    }
}
