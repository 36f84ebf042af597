//! The nodes through which engines can be reached.

use std::collections::BTreeMap;
use std::time::Duration;

use super::tunnel_losses::TunnelLosses;
use super::{PeerDistance, TunnelPeer};
use crate::identity::{BackEndName, NodeName};
use crate::placement::{name_hash, rendezvous_score};
use crate::timestamp::Timestamp;

/// How many times as many tunnels a node of the own zone gets as one of another zone. Bytes between zones are dear, but
/// the few nodes of a zone that are not cut off must not bear the work of all others.
const ZONE_PREFERENCE: f64 = 3.0;
/// A node that refused a tunnel is not asked again for this time.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// A node through which a tunnel was lost is asked after all others for this time, which doubles until a connection
/// through the node has carried an answer.
const FIRST_LOSS_TIME: Duration = Duration::from_secs(1);
const MAX_LOSS_TIME: Duration = Duration::from_secs(16);
/// Maximum number of nodes that are known at a time.
pub(super) const MAX_PEERS: usize = 32;

/// The nodes through which engines can be reached.
#[derive(Debug, Default)]
pub struct TunnelPeers {
    own_id: u64,
    peers: Vec<TunnelPeer>,
    refused_at: BTreeMap<NodeName, Timestamp>,
    losses: BTreeMap<NodeName, TunnelLosses>,
}

impl TunnelPeers {
    /// None yet, for the node `own_id`.
    pub fn new(own_id: u64) -> Self {
        Self {
            own_id,
            ..Self::default()
        }
    }

    /// Replaces the known nodes. Of many, those are kept that this node prefers.
    pub fn set(&mut self, peers: Vec<TunnelPeer>, now: Timestamp) {
        let ranked = peers
            .into_iter()
            .map(|peer| (self.rank(&peer, 0, now), peer));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_by(|(left, _), (right, _)| left.partial_cmp(right).expect("finite ranks"));
        ranked.truncate(MAX_PEERS);
        self.peers = ranked.into_iter().map(|(_, peer)| peer).collect();
        self.refused_at
            .retain(|_, refused_at| now.since(*refused_at) < REFUSAL_TIME);
        let is_known = |name: &NodeName| self.peers.iter().any(|peer| peer.name == *name);
        self.losses.retain(|name, _| is_known(name));
    }

    /// Whether a node can still be used.
    pub fn contains(&self, name: &NodeName) -> bool {
        self.peers.iter().any(|peer| peer.name == *name)
    }

    /// Records that a node refused a tunnel, or could not be reached.
    pub fn note_refused(&mut self, name: &NodeName, now: Timestamp) {
        if self.contains(name) {
            self.refused_at.insert(name.clone(), now);
        }
    }

    /// Records that a tunnel through a node was lost.
    pub fn note_lost(&mut self, name: &NodeName, now: Timestamp) {
        if !self.contains(name) {
            return;
        }
        let losses = self.losses.entry(name.clone()).or_default();
        // Tunnels that are lost together count as one loss.
        if losses.until <= now {
            losses.time = (losses.time * 2).clamp(FIRST_LOSS_TIME, MAX_LOSS_TIME);
            losses.until = now.after(losses.time);
        }
    }

    /// Records that a tunnel through a node has carried an answer.
    pub fn note_answered(&mut self, name: &NodeName) {
        self.losses.remove(name);
    }

    /// The nodes to ask for a tunnel to an engine, the preferred one first, and then one of another zone: what cuts off a
    /// node often cuts off its zone. Nodes of other regions come after all others, then nodes through which tunnels were
    /// lost, and those last that are cut off themselves.
    pub fn candidates(&self, engine: &BackEndName, now: Timestamp) -> Vec<TunnelPeer> {
        let key = name_hash(engine);
        let usable = self.peers.iter().filter(|peer| {
            let refused_at = self.refused_at.get(&peer.name);
            refused_at.is_none_or(|at| now.since(*at) >= REFUSAL_TIME)
        });
        let mut ranked: Vec<_> = usable
            .map(|peer| (self.rank(peer, key, now), peer))
            .collect();
        ranked.sort_by(|(left, _), (right, _)| left.partial_cmp(right).expect("finite ranks"));
        let mut ordered: Vec<_> = ranked.into_iter().map(|(_, peer)| peer.clone()).collect();
        let first_zone = ordered.first().map(|peer| peer.zone.clone());
        let elsewhere = ordered
            .iter()
            .position(|peer| first_zone.as_ref() != Some(&peer.zone));
        if let Some(elsewhere) = elsewhere {
            ordered[1..=elsewhere].rotate_right(1);
        }
        ordered
    }

    /// Place among the nodes for a key, the preferred one least: weighted rendezvous hashing, so that the engines and the
    /// nodes that ask spread over all.
    fn rank(&self, peer: &TunnelPeer, key: u64, now: Timestamp) -> (bool, bool, bool, f64) {
        let hash = rendezvous_score(self.own_id ^ key, peer.id);
        let draw = (hash as f64 / u64::MAX as f64).clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON);
        let preference = match peer.distance {
            PeerDistance::Zone => ZONE_PREFERENCE,
            PeerDistance::Region | PeerDistance::Remote => 1.0,
        };
        let weight = (peer.weight * preference).max(f64::MIN_POSITIVE);
        let is_remote = peer.distance == PeerDistance::Remote;
        let losses = self.losses.get(&peer.name);
        let was_lost = losses.is_some_and(|losses| losses.until > now);
        (peer.is_cut_off, was_lost, is_remote, -draw.ln() / weight)
    }
}
