//! Which nodes callers should use; see docs/design/large.md.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::ZoneName;

use super::{Gateway, GatewayState};
use crate::peers::NodeState;

/// Callers in a zone get its own nodes only when there are at least so many.
const LEAST_NEAR_NODES: usize = 2;
/// A node that hears nobody for so long may be cut off: five heartbeats, so that a few lost
/// datagrams do not count.
const SILENCE: Duration = Duration::from_millis(1_500);
/// It is believed to be cut off once its last proof of freshness is older than this share of what is
/// allowed; until then it could be the only one that is left.
const CUT_OFF_SHARE: f64 = 0.5;

impl Gateway {
    /// Whether callers should come here: the node serves, and their keys can be trusted.
    pub fn is_ready(&self) -> bool {
        let now = self.clock().now();
        let state = self.state();
        state.node_state == NodeState::Ready && !self.must_refuse_keys(&state, now)
    }

    /// Whether the configuration is too long unproven for keys to be trusted.
    fn must_refuse_keys(&self, state: &GatewayState, now: Timestamp) -> bool {
        let needs_proof = state
            .table
            .as_ref()
            .is_some_and(|table| table.has_tenants());
        let limit = self.settings().most_unproven.filter(|_| needs_proof);
        limit.is_some_and(|limit| !state.freshness().is_within(limit, now))
    }

    /// Whether neither other nodes nor the source reach this node, so that what it believes of
    /// either is old while others serve on.
    pub fn is_cut_off(&self) -> bool {
        let now = self.clock().now();
        self.is_cut_off_at(&self.state(), now)
    }

    fn is_cut_off_at(&self, state: &GatewayState, now: Timestamp) -> bool {
        let settings = self.settings();
        let allowed = settings.most_unproven.unwrap_or(settings.catalogue_bound);
        let is_proven = state
            .freshness()
            .is_within(allowed.mul_f64(CUT_OFF_SHARE), now);
        let last_heard = state.peers.last_heard_at();
        let is_silent = last_heard.is_some_and(|at| now.since(at) >= SILENCE);
        is_silent && !is_proven
    }

    /// Addresses that a caller in `zone` should use: its own zone's when there are enough. None from
    /// a node that is cut off: it takes the others for dead, and would send all callers to itself.
    pub fn addresses_near(&self, zone: &ZoneName, most: usize) -> Vec<SocketAddr> {
        let now = self.clock().now();
        let is_ready = self.is_ready();
        let state = self.state();
        if self.is_cut_off_at(&state, now) {
            return Vec::new();
        }
        let own = is_ready.then_some(&self.settings().identity);
        let others = state.peers.ready(now).map(|peer| &peer.identity);
        let nodes: Vec<_> = own.into_iter().chain(others).collect();
        let near: Vec<_> = nodes
            .iter()
            .filter(|node| node.zone == *zone)
            .map(|node| node.caller_address)
            .collect();
        if near.len() >= LEAST_NEAR_NODES {
            return near.into_iter().take(most).collect();
        }
        let all = nodes.iter().map(|node| node.caller_address);
        all.take(most).collect()
    }
}
