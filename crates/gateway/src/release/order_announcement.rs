//! Telling nodes of orders that nobody directs yet.

use slog::info;

use super::recorded_grant::initial_grant;
use super::{KnownOrder, Orders};
use crate::gateway::Gateway;

/// Tells nodes of open orders while this node has no lease to direct them by: it may take long to get when
/// the source is slow, refuses, or waits for a lost holder's lease to end. Until nodes know of the order they
/// take the engines of its version for ones that nobody ordered, and send them a full part of the requests.
pub(super) fn announce_orders(gateway: &Gateway, orders: &Orders) {
    let open = orders.iter().filter(|known| KnownOrder::is_open(known));
    for grant in open.map(|known| initial_grant(&known.release)) {
        let known = gateway.known_grant(&grant.order.pool);
        if known.is_none_or(|(known, _)| grant.supersedes(&known)) {
            info!(gateway.log(), "release_heard"; "pool" => %grant.order.pool,
                "target" => &grant.order.target, "revision" => grant.revision);
            gateway.publish_grant(grant);
        }
    }
}
