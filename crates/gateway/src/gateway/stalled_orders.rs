//! Lets a node stand for the order lease although others come before it, when none of them takes it.

use ryerouter_core::Timestamp;
use slog::warn;

use super::order_turns::OrderTurns;
use super::outdated_engines::outdated_count;
use super::{Gateway, GatewayState};
use crate::peers::Peer;

/// Most names in one log line.
const MAX_LOGGED_NAMES: usize = 4;

impl Gateway {
    /// Records whether this node sees a need for orders.
    pub fn note_order_need(&self, is_needed: bool) {
        let now = self.clock().now();
        self.state_mut().order_need.note(is_needed, now);
    }

    /// Whether this node should stand for the order lease although these others come before it,
    /// because orders are needed and nobody renews the lease. The others may not see the need.
    ///
    /// Nodes stand by turns in the order in which they leave the lease to each other, so that only
    /// a few of them call the store at a time. The lease is taken on the usual conditions only.
    pub(super) fn should_stand_in(&self, state: &GatewayState, before: &[&Peer]) -> bool {
        let now = self.clock().now();
        let Some(since) = stalled_since(state) else {
            return false;
        };
        let turns = OrderTurns {
            rank: before.len(),
            nodes: state.peers.ready(now).count() + 1,
        };
        let Some(turn) = turns.current(now.since(since)) else {
            return false;
        };
        if state.order_need.note_logged(since.after(turn)) {
            self.log_stall(state, before, since);
        }
        true
    }

    fn log_stall(&self, state: &GatewayState, before: &[&Peer], since: Timestamp) {
        let names = before.iter().map(|peer| peer.identity.name.to_string());
        let names: Vec<_> = names.take(MAX_LOGGED_NAMES).collect();
        let stalled_for = self.clock().now().since(since);
        warn!(self.log(), "orders_stalled"; "for_ms" => stalled_for.as_millis() as u64,
            "engines_behind" => outdated_count(&state.engines, &state.deadlines),
            "has_release_work" => state.has_release_work,
            "nodes_before" => before.len(), "waited_for" => names.join(","));
    }
}

/// Since when orders are needed, have had no effect, and nobody renewed the lease, as far as known.
fn stalled_since(state: &GatewayState) -> Option<Timestamp> {
    let unmet_since = state.order_need.unmet_since()?;
    let renewed_at = state.observed_lease.as_ref().map(|(_, seen_at)| *seen_at);
    Some(unmet_since).max(renewed_at)
}
