//! Selects the node that another one catches up with; see docs/design/reading.md.

use std::cmp::Reverse;
use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;
use xxhash_rust::xxh3::xxh3_64;

use super::{Gateway, GatewayState};
use crate::peers::{Capacity, NodeIdentity, NodeState, Peer};

impl Gateway {
    /// The node that this one catches up with: the reader of its zone or, in a wide zone, one of
    /// the secondary readers; for the reader itself, the first of all nodes. A parent always ranks
    /// before its children, so no two nodes wait for each other.
    pub(super) fn parent(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Option<(NodeName, SocketAddr)> {
        let near = self.reader(state, now);
        let secondary_reader = near
            .as_ref()
            .and_then(|_| self.secondary_reader(state, now));
        let near = secondary_reader.or(near);
        near.or_else(|| self.first_before_own(state, |_| true, now))
    }

    /// The node that this one asks in place of the reader of a wide zone: one of the secondary
    /// readers, which are the next nodes in reading order after the reader. Their number is the
    /// square root of the number of nodes, so that each of them answers about as many nodes as
    /// there are secondary readers. `None` for the reader and the secondary readers themselves.
    ///
    /// While many engines start, a thousand and more are listed a second. A single node sending
    /// these to two hundred others needs 80 Mbit/s and more (computed, 50 bytes each), and stopped
    /// answering.
    fn secondary_reader(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Option<(NodeName, SocketAddr)> {
        if !state.peers.is_wide() {
            return None;
        }
        let own = &self.settings().identity;
        let secondary_readers = state.peers.near_count().isqrt();
        let near = state.peers.ready(now).filter(|peer| peer.is_near);
        let mut before: Vec<_> = near
            .map(|peer| &peer.identity)
            .filter(|other| other.reading_rank() < own.reading_rank())
            .collect();
        if before.len() <= secondary_readers {
            return None;
        }
        before.sort_unstable_by_key(|other| other.reading_rank());
        let first = xxh3_64(own.name.as_str().as_bytes()) as usize % secondary_readers;
        // The first of all is the reader of the zone, which answers the secondary readers only.
        let candidates =
            (0..secondary_readers).map(|offset| before[1 + (first + offset) % secondary_readers]);
        let mut able = candidates.filter(|other| state.sync.may_ask(&other.name, now));
        let chosen = able.next()?;
        Some((chosen.name.clone(), chosen.peer_address))
    }

    /// The reader of this zone, which is the first of its nodes; `None` if that is this node.
    pub(super) fn reader(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Option<(NodeName, SocketAddr)> {
        self.first_before_own(state, |peer| peer.is_near, now)
    }

    /// The first of the nodes that may be asked, or `None` if this node ranks before it. Ready
    /// nodes rank before starting ones, then nodes with more capacity, which read for their whole
    /// zone beside serving their own requests; then names decide.
    fn first_before_own(
        &self,
        state: &GatewayState,
        is_eligible: impl Fn(&Peer) -> bool,
        now: Timestamp,
    ) -> Option<(NodeName, SocketAddr)> {
        let own = &self.settings().identity;
        let may_be_asked = |peer: &&Peer| {
            let is_staying = peer.state != NodeState::Leaving;
            is_staying && is_eligible(peer) && state.sync.may_ask(&peer.identity.name, now)
        };
        let others = state.peers.alive(now).filter(may_be_asked);
        let peer = others.min_by_key(|peer| asking_rank(peer.state, &peer.identity))?;
        let identity = &peer.identity;
        let comes_before = asking_rank(peer.state, identity) < asking_rank(state.node_state, own);
        comes_before.then(|| (identity.name.clone(), identity.peer_address))
    }
}

/// Rank of a node; the node with the lowest rank is asked.
fn asking_rank(
    state: NodeState,
    identity: &NodeIdentity,
) -> (bool, (Reverse<Capacity>, &NodeName)) {
    (state != NodeState::Ready, identity.reading_rank())
}
