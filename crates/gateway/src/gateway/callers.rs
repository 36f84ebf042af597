//! Which nodes callers should use; see docs/design/large.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::ZoneName;

use slog::info;

use super::caller_ring::{CallerLocation, CallerNode, CallerRing, HIGH_LOAD_SHARE, draw_addresses};
use super::{Gateway, GatewayState};
use crate::catalogue::RoutingTable;
use crate::peers::NodeState;

/// A node that has received nothing from other nodes for this time may be isolated. Five
/// heartbeats, so that a few lost datagrams do not count.
const ISOLATION_SILENCE: Duration = Duration::from_millis(1_500);
/// A node that receives nothing from other nodes considers itself isolated once its last
/// confirmation of the configuration is older than this share of the allowed age; until then it may
/// be the only node left.
const ISOLATION_AGE_SHARE: f64 = 0.5;

impl Gateway {
    /// Whether callers should use this node: it serves requests and can trust their API keys.
    pub fn is_ready(&self) -> bool {
        let now = self.clock().now();
        let state = self.state();
        state.node_state == NodeState::Ready && !self.must_refuse_keys(&state, now)
    }

    /// Whether requests need a key, except on public routes. A configuration that says nothing of tenants doesn't open a
    /// deployment that is set up with keys.
    pub(crate) fn requires_keys(&self, table: &RoutingTable) -> bool {
        self.settings().requires_keys || table.lists_tenants()
    }

    /// Whether the configuration has been unconfirmed for too long to trust API keys.
    fn must_refuse_keys(&self, state: &GatewayState, now: Timestamp) -> bool {
        let table = state.table.as_ref();
        let needs_confirmation = table.is_some_and(|table| self.requires_keys(table));
        let limit = self
            .settings()
            .max_unconfirmed_age
            .filter(|_| needs_confirmation);
        limit.is_some_and(|limit| !state.freshness().is_within(limit, now))
    }

    /// Whether neither other nodes nor the source reach this node, so that its state is outdated
    /// while other nodes go on serving.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock().now();
        self.is_isolated_at(&self.state(), now)
    }

    fn is_isolated_at(&self, state: &GatewayState, now: Timestamp) -> bool {
        let settings = self.settings();
        let allowed = settings
            .max_unconfirmed_age
            .unwrap_or(settings.propagation_limit);
        let is_confirmed = state
            .freshness()
            .is_within(allowed.mul_f64(ISOLATION_AGE_SHARE), now);
        let last_heard = state.peers.last_heard_at();
        let receives_nothing = last_heard.is_some_and(|at| now.since(at) >= ISOLATION_SILENCE);
        receives_nothing && !is_confirmed
    }

    /// Addresses that a caller in `zone` should use.
    pub fn addresses_near(&self, zone: &ZoneName, max: usize) -> Vec<SocketAddr> {
        self.addresses_for(CallerLocation { zone, region: None }, max)
    }

    /// Addresses that a caller should use: nodes of its zone, of its region when the zone has too
    /// few ready nodes, or of all zones when the region has too few. Empty on an isolated node,
    /// which considers the others dead and would send all callers to itself.
    pub fn addresses_for(&self, location: CallerLocation<'_>, max: usize) -> Vec<SocketAddr> {
        let now = self.clock().now();
        let is_ready = self.is_ready();
        let state = self.state();
        if self.is_isolated_at(&state, now) {
            return Vec::new();
        }
        let is_under_high_load = self.is_under_high_load(&state, now);
        let nodes = self.caller_nodes(&state, is_ready, now);
        let (ring, ready) = CallerRing::of(location, &nodes, &self.settings().topology);
        let addresses = draw_addresses(&ready, max, is_under_high_load, &mut rand::rng());
        let is_served_zone = nodes.iter().any(|node| node.zone == location.zone);
        let (known, serving) = (nodes.len(), ready.len());
        drop(state);
        self.metrics()
            .callers_by_ring
            .with_label_values(&[&ring.to_string()])
            .inc();
        // Only zones with known nodes are logged, since callers may name any zone.
        if is_served_zone && self.note_ring(location.zone, ring) {
            info!(self.log(), "callers_sent"; "zone" => %location.zone, "ring" => %ring,
                "serving" => serving, "known" => known, "named" => addresses.len(),
                "pressed" => is_under_high_load);
        }
        addresses
    }

    /// Whether this node's request rate is so high that nodes with more capacity should get more
    /// callers.
    fn is_under_high_load(&self, state: &GatewayState, now: Timestamp) -> bool {
        let capacity = self.settings().identity.capacity.weight();
        state.requests.per_second(now) > capacity * HIGH_LOAD_SHARE
    }

    /// This node and all others that were heard from recently.
    fn caller_nodes<'a>(
        &'a self,
        state: &'a GatewayState,
        is_ready: bool,
        now: Timestamp,
    ) -> Vec<CallerNode<'a>> {
        let ready: BTreeSet<_> = state
            .peers
            .ready(now)
            .map(|peer| &peer.identity.name)
            .collect();
        let others = state.peers.recently_heard(now).map(|peer| {
            let identity = &peer.identity;
            (identity, ready.contains(&identity.name))
        });
        let own = (&self.settings().identity, is_ready);
        let nodes = std::iter::once(own).chain(others);
        nodes
            .map(|(identity, is_ready)| CallerNode {
                address: identity.caller_address,
                zone: &identity.zone,
                capacity: identity.capacity,
                is_ready,
            })
            .collect()
    }

    /// Records the ring for callers of a zone; returns whether it has changed.
    fn note_ring(&self, zone: &ZoneName, ring: CallerRing) -> bool {
        let mut state = self.state_mut();
        if state.caller_rings.get(zone) == Some(&ring) {
            return false;
        }
        state.caller_rings.insert(zone.clone(), ring);
        true
    }
}
