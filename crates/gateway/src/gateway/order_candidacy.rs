//! Determines whether this node should give orders to engines.

use std::cmp::Reverse;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;
use slog::{info, warn};

use super::{Gateway, GatewayState};
use crate::peers::{NodeState, Peer};

/// Nodes whose starts lie closer together than this count as started at the same time, as when a
/// whole deployment starts.
const SIMULTANEOUS_START_WINDOW: Duration = Duration::from_secs(1);
/// A failure of the lease store counts for this long: a node that requests the lease sees failures
/// at least this often.
const LEASE_STORE_FAILURE_TTL: Duration = Duration::from_secs(3);

impl Gateway {
    pub(super) fn uptime(&self) -> Duration {
        self.clock().now().since(self.clock().start_time())
    }

    /// Records whether a request to the lease store was answered.
    pub fn note_lease_store_answer(&self, is_answered: bool) {
        let now = self.clock().now();
        let failed_at = (!is_answered).then_some(now);
        let before = std::mem::replace(&mut self.state_mut().lease_store_failed_at, failed_at);
        match (before, is_answered) {
            (None, false) => warn!(self.log(), "lease_store_lost"),
            (Some(since), true) => {
                let after_ms = now.since(since).as_millis() as u64;
                info!(self.log(), "lease_store_regained"; "after_ms" => after_ms);
            }
            _ => {}
        }
    }

    /// Whether this node reaches the lease store, so that other nodes may leave the orders to it.
    pub(super) fn reaches_lease_store(&self, state: &GatewayState) -> bool {
        let now = self.clock().now();
        let failed_at = state.lease_store_failed_at;
        let has_failed = failed_at.is_some_and(|at| now.since(at) < LEASE_STORE_FAILURE_TTL);
        state.is_source_reachable && !has_failed
    }

    /// Whether this node should hold the order lease: no other node holds it, and of the nodes that
    /// reach the store this one was named by a holder that gave the lease up or, if none was, comes
    /// first by [`Self::order_candidates`]. The node that gave it up does not take it back soon. When
    /// none of the nodes before this one takes the lease, it stands in for them.
    pub fn should_give_orders(&self) -> bool {
        let now = self.clock().now();
        let state = self.state();
        if self.own_handover(&state, now).is_some() {
            return false;
        }
        if state.gives_orders {
            return state.node_state == NodeState::Ready;
        }
        if state.node_state != NodeState::Ready || !state.is_source_reachable {
            return false;
        }
        let able = state.peers.ready(now).filter(|peer| peer.reaches_store);
        let before = able.filter(|peer| peer.gives_orders || self.comes_before(peer, &state, now));
        let before: Vec<_> = before.collect();
        before.is_empty() || self.should_stand_in(&state, &before)
    }

    /// Whether another node takes the order lease before this one.
    fn comes_before(&self, peer: &Peer, state: &GatewayState, now: Timestamp) -> bool {
        let own_name = &self.settings().identity.name;
        let name = &peer.identity.name;
        if let Some(successor) = self.successor(state, now) {
            return successor != own_name;
        }
        let own = (self.clock().start_time(), own_name);
        let has_given_up = state.handover.valid_by(name, now).is_some();
        !has_given_up && is_before((peer.started_at, name), own)
    }

    /// The other nodes that reach the store, in the order in which they take the order lease: the
    /// one that started last comes first, so that it stays longest in a rolling restart. Among
    /// nodes that started at about the same time, names decide.
    pub fn order_candidates(&self) -> Vec<NodeName> {
        let now = self.clock().now();
        let state = self.state();
        let able = state.peers.ready(now).filter(|peer| peer.reaches_store);
        let mut able: Vec<_> = able
            .map(|peer| (peer.started_at, &peer.identity.name))
            .collect();
        able.sort_by_key(|(started_at, name)| (Reverse(*started_at), *name));
        // Starts that lie close together form no total order, so each run of them is sorted alone.
        let together = able.chunk_by_mut(|one, next| is_close(one.0, next.0));
        for run in together {
            run.sort_by_key(|(_, name)| *name);
        }
        able.into_iter().map(|(_, name)| name.clone()).collect()
    }
}

fn is_close(one: Timestamp, other: Timestamp) -> bool {
    let window = SIMULTANEOUS_START_WINDOW;
    one.since(other) < window && other.since(one) < window
}

/// Whether one node takes the order lease before another, by their starts and names.
fn is_before(one: (Timestamp, &NodeName), other: (Timestamp, &NodeName)) -> bool {
    match is_close(one.0, other.0) {
        true => one.1 < other.1,
        false => one.0 > other.0,
    }
}
