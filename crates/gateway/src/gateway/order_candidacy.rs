//! Determines whether this node should give orders to engines.

use std::time::Duration;

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
    /// reach the store this one started last, so that it stays longest in a rolling restart. Among
    /// nodes that started at about the same time, names decide.
    /// When none of the nodes before this one takes the lease, it stands in for them.
    pub fn should_give_orders(&self) -> bool {
        let now = self.clock().now();
        let state = self.state();
        if state.gives_orders {
            return state.node_state == NodeState::Ready;
        }
        if state.node_state != NodeState::Ready || !state.is_source_reachable {
            return false;
        }
        let own_name = &self.settings().identity.name;
        let own_start = self.clock().start_time();
        let comes_first = |peer: &Peer| {
            let is_close = own_start.since(peer.started_at) < SIMULTANEOUS_START_WINDOW
                && peer.started_at.since(own_start) < SIMULTANEOUS_START_WINDOW;
            match is_close {
                true => peer.identity.name < *own_name,
                false => peer.started_at > own_start,
            }
        };
        let able = state.peers.ready(now).filter(|peer| peer.reaches_store);
        let before = able.filter(|peer| peer.gives_orders || comes_first(peer));
        let before: Vec<_> = before.collect();
        before.is_empty() || self.should_stand_in(&state, &before)
    }
}
