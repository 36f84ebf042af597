//! All other nodes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName, ZoneName};

use super::{MemberAddress, MessageEcho, NodeIdentity, NodeState, Peer, PeerMessage};
use crate::engines::EngineLoad;

/// A node that was silent for so long is not handed to callers.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_100);
/// Most nodes that one message goes to.
const MOST_RECEIVERS: usize = 9;
/// Of these, nodes in other zones when there are more nodes.
const MOST_FAR_RECEIVERS: usize = 3;
/// A node that was silent for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Most nodes whose messages are echoed in one message.
const MOST_ECHOES: usize = 16;
/// Most nodes that one introduction tells of.
const MOST_MEMBERS: usize = 16;
/// Addresses that are tried though nobody answered there yet.
const MOST_UNHEARD: usize = 64;

/// All other nodes, and addresses where more may be.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeName, Peer>,
    unheard: Vec<SocketAddr>,
}

impl PeerTable {
    /// A node may be at `address`.
    pub fn suggest(&mut self, address: SocketAddr) {
        let is_heard = self
            .peers
            .values()
            .any(|peer| peer.identity.peer_address == address);
        if !is_heard && !self.unheard.contains(&address) && self.unheard.len() < MOST_UNHEARD {
            self.unheard.push(address);
        }
    }

    /// Whether this life of a node has told anything yet.
    pub fn knows(&self, identity: &NodeIdentity) -> bool {
        let known = self.peers.get(&identity.name);
        known.is_some_and(|known| known.identity.incarnation == identity.incarnation)
    }

    /// Takes who a message is from; `false` when a newer one came before it.
    pub fn hear(&mut self, message: &PeerMessage, now: Timestamp) -> bool {
        let from = &message.from;
        self.unheard.retain(|address| *address != from.peer_address);
        if let Some(known) = self.peers.get(&from.name)
            && known.identity.incarnation == from.incarnation
            && known.sequence >= message.sequence
        {
            return false;
        }
        let peer = Peer {
            identity: from.clone(),
            started_at: now.before(Duration::from_millis(message.uptime_ms)),
            state: message.state,
            gives_orders: message.gives_orders,
            reaches_store: message.reaches_store,
            sequence: message.sequence,
            heard_at: now,
            loads: message.loads.clone(),
        };
        self.peers.insert(from.name.clone(), peer);
        true
    }

    /// Forgets nodes that were silent for long.
    pub fn forget_silent(&mut self, now: Timestamp) {
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < FORGET_AFTER);
    }

    /// Nodes that told something lately.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let limit = self.suspect_after();
        self.peers
            .values()
            .filter(move |peer| now.since(peer.heard_at) < limit)
    }

    /// Nodes that serve, as far as known.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        self.alive(now)
            .filter(|peer| peer.state == NodeState::Ready)
    }

    /// Where to send a message: to all nodes while they are few; beyond that to some, drawn at
    /// random, most of them in the own zone, whose engines and callers are the same.
    pub fn receivers(&self, zone: &ZoneName, random: &mut impl Rng) -> Vec<SocketAddr> {
        let of = |peer: &Peer| peer.identity.peer_address;
        if self.peers.len() <= MOST_RECEIVERS {
            return self.peers.values().map(of).collect();
        }
        let (near, far): (Vec<_>, Vec<_>) = self
            .peers
            .values()
            .partition(|peer| peer.identity.zone == *zone);
        let far_count = MOST_FAR_RECEIVERS.max(MOST_RECEIVERS.saturating_sub(near.len()));
        let near = near.choose_multiple(random, MOST_RECEIVERS - MOST_FAR_RECEIVERS);
        let far = far.choose_multiple(random, far_count);
        near.chain(far).map(|peer| of(peer)).collect()
    }

    /// A node that was silent for so long is not handed to callers: some of its messages, at the
    /// rate at which they come with so many nodes.
    fn suspect_after(&self) -> Duration {
        let share = self.peers.len() as f64 / MOST_FAR_RECEIVERS as f64;
        match self.peers.len() <= MOST_RECEIVERS {
            true => SUSPECT_AFTER,
            false => SUSPECT_AFTER.mul_f64(share).min(FORGET_AFTER),
        }
    }

    /// Addresses where nobody answered yet.
    pub fn unheard_addresses(&self) -> &[SocketAddr] {
        &self.unheard
    }

    /// How many nodes are known, silent ones included.
    pub fn known_count(&self) -> usize {
        self.peers.len().max(self.unheard.len())
    }

    /// The last messages of others, for them to know that they arrived; of some, when they are many.
    pub fn echoes(&self, now: Timestamp, random: &mut impl Rng) -> Vec<MessageEcho> {
        self.alive(now)
            .choose_multiple(random, MOST_ECHOES)
            .into_iter()
            .map(|peer| MessageEcho {
                incarnation: peer.identity.incarnation,
                sequence: peer.sequence,
            })
            .collect()
    }

    /// Nodes to tell others of: some of them, drawn at random.
    pub fn members(&self, now: Timestamp, random: &mut impl Rng) -> Vec<MemberAddress> {
        self.alive(now)
            .choose_multiple(random, MOST_MEMBERS)
            .into_iter()
            .map(|peer| MemberAddress {
                name: peer.identity.name.clone(),
                address: peer.identity.peer_address,
            })
            .collect()
    }

    /// The work of all other nodes at engines.
    pub fn loads(&self, now: Timestamp) -> HashMap<BackEndName, EngineLoad> {
        let mut sums: HashMap<BackEndName, EngineLoad> = HashMap::new();
        for peer in self.alive(now) {
            for news in &peer.loads {
                sums.entry(news.0.clone()).or_default().add(news.1);
            }
        }
        sums
    }
}
