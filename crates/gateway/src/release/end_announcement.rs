//! Announces the end of releases to the nodes.

use ryerouter_core::release::{Grant, Stage};
use slog::info;

use super::Orders;
use super::recorded_grant::{final_grant, withdrawn_grant};
use crate::gateway::Gateway;

/// Announces each release that has ended according to the source, unless this node already knows its end. The
/// announcement also reaches nodes that were started after the release ended.
pub(super) fn announce_ends(gateway: &Gateway, orders: &Orders) {
    let known = gateway.known_grants();
    // A completed release has no effect once other engines have replaced those of its target version.
    let is_obsolete = |grant: &Grant| {
        grant.stage == Stage::Completed && !gateway.has_target_engines(&grant.order)
    };
    let ends = orders.iter().filter_map(final_grant);
    let ends = ends.filter(|grant| !is_obsolete(grant));
    // A grant with a later revision belongs to an order that this node's copy does not contain yet.
    let is_withdrawn = |grant: &&Grant| {
        let is_known = Some(grant.revision) <= orders.revision();
        is_known && orders.of(&grant.order.pool).is_none() && !grant.stage.is_final()
    };
    let withdrawn = known.iter().filter(is_withdrawn).map(withdrawn_grant);
    for grant in ends.chain(withdrawn) {
        if !is_known_end(gateway, &grant) {
            info!(gateway.log(), "release_ended"; "pool" => %grant.order.pool,
                "target" => &grant.order.target, "stage" => %grant.stage,
                "revision" => grant.revision);
            gateway.publish_grant(grant);
        }
    }
}

/// Whether this node already knows this end of the release, or a newer grant of the pool.
fn is_known_end(gateway: &Gateway, grant: &Grant) -> bool {
    let known = gateway.known_grant(&grant.order.pool);
    known.is_some_and(|(known, _)| {
        let is_same_end = known.order == grant.order && known.stage == grant.stage;
        is_same_end || !grant.supersedes(&known)
    })
}
