//! All other nodes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName, ZoneName};

use super::forgotten_addresses::ForgottenAddresses;
use super::{Capacity, MemberAddress, MessageEcho, NodeIdentity, NodeState, Peer, PeerMessage};
use crate::engines::EngineLoad;
use crate::placement::{PrefillDemandUpdate, SourceDelayUpdate};
use crate::quotas::{EarlierReport, UsageUpdate};
use crate::shedding::PoolLoadUpdate;
use crate::topology::{Distance, Topology};

/// A node that was silent for so long is not handed to callers.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_100);
/// Up to so many other nodes, each message goes to all of them.
const MOST_OF_FEW: usize = 9;
/// Most nodes of the own zone that one message goes to: its engines and callers are the same.
const MOST_NEAR_RECEIVERS: usize = 30;
/// In a zone of more nodes a node would hear each other one less than once a second, so that what it knows of their
/// work is mostly over. There the readers of the zone hear all of its nodes and tell the sums.
const WIDE_ZONE: usize = 3 * MOST_NEAR_RECEIVERS;
/// Nodes of a wide zone that hear of all others directly: its reader, and the next one, which takes its place.
const READERS_OF_ZONE: usize = 2;
/// Other nodes of a wide zone that one message goes to, for all to know who lives: with 32 echoes in each, news of
/// a node reach two hundred others in about four heartbeats.
const GOSSIP_RECEIVERS: usize = 8;
/// Most nodes of other zones that one message goes to when there are many nodes.
const MOST_FAR_RECEIVERS: usize = 2;
/// Most of those that stand in other regions, where the own region has other zones: bytes between regions
/// are dear.
const MOST_REMOTE_RECEIVERS: usize = 1;
/// A node of another zone is mostly heard of through the echoes of others, which takes longer.
const FAR_SUSPECT_FACTOR: u32 = 3;
/// A node that was silent for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Most nodes whose messages are echoed in one message.
const MOST_ECHOES: usize = 16;
/// The same in a wide zone, where messages are rarer and go to fewer nodes.
const MOST_ECHOES_OF_MANY: usize = 32;
/// Most nodes that one introduction tells of.
const MOST_MEMBERS: usize = 16;
/// Addresses that are tried though nobody answered there yet.
const MOST_UNHEARD: usize = 64;

/// Longest silence of a node of the own zone after which callers are still sent to it.
const LONGEST_SUSPICION: Duration = Duration::from_secs(5);

/// All other nodes, and addresses where more may be.
#[derive(Debug, Default)]
pub struct PeerTable {
    topology: Topology,
    peers: BTreeMap<NodeName, Peer>,
    /// Names by the lives that echoes tell of: a message holds many echoes, and comes many times a second.
    names: HashMap<u64, NodeName>,
    /// Nodes of the own zone.
    near_count: usize,
    /// How many nodes the best informed of the others has heard of.
    told_count: usize,
    unheard: Vec<SocketAddr>,
    forgotten: ForgottenAddresses,
    last_heard_at: Option<Timestamp>,
}

impl PeerTable {
    /// A table that knows which zone lies in which region.
    pub fn new(topology: Topology) -> Self {
        Self {
            topology,
            ..Self::default()
        }
    }

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

    /// When any other node was last heard.
    pub fn last_heard_at(&self) -> Option<Timestamp> {
        self.last_heard_at
    }

    /// Where a node is reached.
    pub fn address_of(&self, name: &NodeName) -> Option<SocketAddr> {
        let peer = self.peers.get(name)?;
        Some(peer.identity.peer_address)
    }

    /// The node at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&Peer> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.identity.peer_address == address)
    }

    /// Whether this life of a node has told anything yet.
    pub fn knows(&self, identity: &NodeIdentity) -> bool {
        let known = self.peers.get(&identity.name);
        known.is_some_and(|known| known.identity.incarnation == identity.incarnation)
    }

    /// The process that a node ran before the one that sends `message`, if this is the first message of that one.
    pub fn former_process(&self, message: &PeerMessage, now: Timestamp) -> Option<&NodeIdentity> {
        let known = self.peers.get(&message.from.name)?;
        let started_at = now.before(Duration::from_millis(message.uptime_ms));
        let is_same = known.identity.incarnation == message.from.incarnation;
        (!is_same && known.started_at < started_at).then_some(&known.identity)
    }

    /// Takes who a message is from; `false` when a newer one came before it.
    pub fn receive(&mut self, message: &PeerMessage, own_zone: &ZoneName, now: Timestamp) -> bool {
        let from = &message.from;
        self.last_heard_at = Some(now);
        self.unheard.retain(|address| *address != from.peer_address);
        self.forgotten.remove(from.peer_address);
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
            reach_answer: message.reach_answer.clone(),
            tunnels: message.tunnels,
            known_nodes: message.known_nodes,
            is_near: from.zone == *own_zone,
            is_remote: self.topology.distance(own_zone, &from.zone) == Distance::Remote,
            sequence: message.sequence,
            newest_sequence: self.newest_sequence(message),
            heard_at: now,
            told_at: now,
            loads: message.loads.clone(),
            usages: message.usages.clone(),
            reading: message.reading.clone(),
            pool_loads: message.pool_loads.clone(),
            source_delays: message.source_delays.clone(),
        };
        self.insert(peer);
        self.told_count = self.told_count.max(message.known_nodes);
        true
    }

    fn insert(&mut self, peer: Peer) {
        let name = peer.identity.name.clone();
        let incarnation = peer.identity.incarnation;
        self.names.insert(incarnation, name.clone());
        self.near_count += usize::from(peer.is_near);
        let Some(before) = self.peers.insert(name, peer) else {
            return;
        };
        self.near_count -= usize::from(before.is_near);
        if before.identity.incarnation != incarnation {
            self.names.remove(&before.identity.incarnation);
        }
    }

    /// Number of the newest message that the node is known to have sent in this life.
    fn newest_sequence(&self, message: &PeerMessage) -> u64 {
        let known = self.peers.get(&message.from.name);
        let known = known.filter(|peer| peer.identity.incarnation == message.from.incarnation);
        known.map_or(message.sequence, |peer| {
            peer.newest_sequence.max(message.sequence)
        })
    }

    /// Whether there are so many nodes that not every node tells every other, and that not every
    /// node reads the source for itself. A node that was just started and has heard of few itself
    /// learns it from the first of them that has heard of many.
    pub fn is_large(&self) -> bool {
        self.heard_count().max(self.told_count) > MOST_OF_FEW
    }

    /// Whether this node itself has heard of enough others to know its place among them.
    pub fn is_settled(&self) -> bool {
        self.heard_count() > MOST_OF_FEW
    }

    /// Whether the own zone has so many nodes that they hear of each other's work through its reader.
    pub fn is_wide(&self) -> bool {
        self.near_count > WIDE_ZONE
    }

    /// How many other nodes of the own zone this one has heard of.
    pub fn near_count(&self) -> usize {
        self.near_count
    }

    /// How many nodes this one has heard of itself, silent ones included.
    pub fn heard_count(&self) -> usize {
        self.peers.len()
    }

    /// Whether the sender of a message does not know yet that there are many nodes.
    pub fn needs_deployment_size(&self, message: &PeerMessage) -> bool {
        self.is_settled() && message.known_nodes <= MOST_OF_FEW
    }

    /// Forgets nodes that were silent for long. Their addresses are tried from time to time.
    pub fn forget_silent(&mut self, now: Timestamp) {
        let silent = self
            .peers
            .extract_if(.., |_, peer| now.since(peer.heard_at) >= FORGET_AFTER);
        let silent: Vec<_> = silent.map(|(_, peer)| peer.identity.peer_address).collect();
        for address in silent {
            self.forgotten.add(address);
        }
        self.names.retain(|_, name| self.peers.contains_key(name));
        self.near_count = self.peers.values().filter(|peer| peer.is_near).count();
        let told = self.peers.values().map(|peer| peer.known_nodes).max();
        self.told_count = told.unwrap_or_default();
    }

    /// Nodes that told something lately, or that others have heard of lately.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let (near_limit, far_limit) = self.silence_limits();
        self.peers.values().filter(move |peer| {
            let limit = if peer.is_near { near_limit } else { far_limit };
            now.since(peer.heard_at) < limit
        })
    }

    /// Whether a node is among them.
    pub fn is_alive(&self, name: &NodeName, now: Timestamp) -> bool {
        let (near_limit, far_limit) = self.silence_limits();
        self.peers.get(name).is_some_and(|peer| {
            let limit = if peer.is_near { near_limit } else { far_limit };
            now.since(peer.heard_at) < limit
        })
    }

    /// Whether a node is heard so regularly that it is most likely there. It may be missing for twice as long as one that
    /// callers are still sent to.
    pub fn is_present(&self, peer: &Peer, now: Timestamp) -> bool {
        let (near_limit, far_limit) = self.silence_limits();
        let limit = if peer.is_near { near_limit } else { far_limit };
        now.since(peer.heard_at) < limit * 2
    }

    /// For how long a node of the own zone, and one of another, may be silent and count as alive.
    fn silence_limits(&self) -> (Duration, Duration) {
        let near = SUSPECT_AFTER.mul_f64(self.rarity_of_near_messages());
        let near = near.min(LONGEST_SUSPICION);
        let far = match self.is_large() {
            true => near * FAR_SUSPECT_FACTOR,
            false => near,
        };
        (near, far)
    }

    /// How many times as rarely a node of the own zone is heard directly as when all hear all.
    fn rarity_of_near_messages(&self) -> f64 {
        (self.near_count as f64 / MOST_NEAR_RECEIVERS as f64).max(1.0)
    }

    /// Nodes that are not alive as far as this one hears, but were heard `within` this time.
    pub fn silent_count(&self, within: Duration, now: Timestamp) -> usize {
        let lately = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(within, now));
        lately.count().saturating_sub(self.alive(now).count())
    }

    /// The same for the nodes of the own zone, which are missed sooner.
    pub fn silent_near_count(&self, within: Duration, now: Timestamp) -> usize {
        let near = self.peers.values().filter(|peer| peer.is_near);
        let lately = near.filter(|peer| peer.is_heard(within, now));
        let alive = self.alive(now).filter(|peer| peer.is_near);
        lately.count().saturating_sub(alive.count())
    }

    /// All nodes but those that were silent for long.
    pub fn recently_heard(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        let all = self.peers.values();
        all.filter(move |peer| peer.is_heard(FORGET_AFTER, now))
    }

    /// Nodes that serve, as far as known.
    pub fn ready(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        self.alive(now)
            .filter(|peer| peer.state == NodeState::Ready)
    }

    /// Where to send a message: to all nodes while they are few; beyond that to those of the own
    /// zone, whose engines and callers are the same, and to some others, drawn at random.
    pub fn receivers(&self, now: Timestamp, random: &mut impl Rng) -> Vec<SocketAddr> {
        if !self.is_large() {
            return self.all_addresses();
        }
        let of = |peer: &Peer| peer.identity.peer_address;
        let (near, far): (Vec<_>, Vec<_>) = self.peers.values().partition(|peer| peer.is_near);
        let (readers, most_near) = match self.is_wide() {
            true => (self.readers_of_zone(now), GOSSIP_RECEIVERS),
            false => (Vec::new(), MOST_NEAR_RECEIVERS),
        };
        let near = near.choose_multiple(random, most_near);
        let is_reader = |peer: &Peer| {
            let mut readers = readers.iter();
            readers.any(|reader| reader.identity.name == peer.identity.name)
        };
        let near = near.filter(|peer| !is_reader(peer));
        let (remote, far): (Vec<_>, Vec<_>) = far.into_iter().partition(|peer| peer.is_remote);
        let most_remote = match far.is_empty() {
            true => MOST_FAR_RECEIVERS,
            false => MOST_REMOTE_RECEIVERS.min(remote.len()),
        };
        let far = far.choose_multiple(random, MOST_FAR_RECEIVERS - most_remote);
        let remote = remote.choose_multiple(random, most_remote);
        let all = near.chain(far).chain(remote).chain(&readers);
        all.map(|peer| of(peer)).collect()
    }

    /// The first nodes of the own zone in the order in which they read for it.
    pub fn readers_of_zone(&self, now: Timestamp) -> Vec<&Peer> {
        let near = self.ready(now).filter(|peer| peer.is_near);
        let mut near: Vec<_> = near.collect();
        near.sort_unstable_by_key(|peer| peer.identity.reading_rank());
        near.truncate(READERS_OF_ZONE);
        near
    }

    /// What a node bears in the mean, this one included.
    pub fn mean_weight(&self, own: Capacity) -> f64 {
        let peers = self.peers.values();
        let others: f64 = peers.map(|peer| peer.identity.capacity.weight()).sum();
        (others + own.weight()) / (self.peers.len() + 1) as f64
    }

    /// Whether a node of another zone is known at an address.
    pub fn is_far(&self, address: SocketAddr) -> bool {
        let mut far = self.peers.values().filter(|peer| !peer.is_near);
        far.any(|peer| peer.identity.peer_address == address)
    }

    /// The other nodes of the own zone, in order of their names.
    pub fn near(&self) -> impl Iterator<Item = &NodeIdentity> {
        let near = self.peers.values().filter(|peer| peer.is_near);
        near.map(|peer| &peer.identity)
    }

    /// All nodes, for news that every one needs at once.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        let all = self.peers.values();
        all.map(|peer| peer.identity.peer_address).collect()
    }

    /// Another node has a message of the node with this life: it was alive when it sent it.
    pub fn note_echo(&mut self, echo: &MessageEcho, now: Timestamp) {
        let name = self.names.get(&echo.incarnation);
        if let Some(peer) = name.and_then(|name| self.peers.get_mut(name))
            && echo.sequence > peer.newest_sequence
        {
            peer.newest_sequence = echo.sequence;
            peer.heard_at = now;
        }
    }

    /// Address of a forgotten node that is to be told now that this one is there.
    pub fn next_forgotten(&mut self, now: Timestamp) -> Option<SocketAddr> {
        self.forgotten.next(now)
    }

    /// Addresses where nobody answered yet.
    pub fn unanswered_addresses(&self) -> &[SocketAddr] {
        &self.unheard
    }

    /// How many other nodes there may be, as far as this one or the others have heard, silent ones
    /// included.
    pub fn known_count(&self) -> usize {
        let heard = self.heard_count().max(self.told_count);
        heard.max(self.unheard.len())
    }

    /// Whether this node has heard every node that it knows of, and no other one has heard more.
    pub fn has_heard_all_known(&self) -> bool {
        self.unheard.is_empty() && self.told_count <= self.heard_count()
    }

    /// Whether there may be many more nodes than [`Self::known_count`] tells: addresses beyond a maximum number are not
    /// kept, and of many nodes each hears of the others slowly.
    pub fn may_know_few_of_many(&self) -> bool {
        let known = self.heard_count() + self.unheard.len();
        known.max(self.told_count) >= MOST_UNHEARD
    }

    /// The last messages of others, for them to know that they arrived; of some, when they are many.
    pub fn echoes(&self, now: Timestamp, random: &mut impl Rng) -> Vec<MessageEcho> {
        let most = match self.is_wide() {
            true => MOST_ECHOES_OF_MANY,
            false => MOST_ECHOES,
        };
        self.alive(now)
            .choose_multiple(random, most)
            .into_iter()
            .map(|peer| MessageEcho {
                incarnation: peer.identity.incarnation,
                sequence: peer.newest_sequence,
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

    /// Number of nodes in each other zone.
    pub fn nodes_of_other_zones(&self) -> BTreeMap<&ZoneName, usize> {
        let mut counts = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| !peer.is_near) {
            *counts.entry(&peer.identity.zone).or_default() += 1;
        }
        counts
    }

    /// What tenants use at all other nodes; in a large deployment at those of the own zone.
    pub fn usages(&self, now: Timestamp) -> impl Iterator<Item = UsageUpdate> {
        let is_large = self.is_large();
        let heard = self
            .alive(now)
            .filter(move |peer| peer.is_near || !is_large);
        heard.flat_map(|peer| peer.usages.iter().copied())
    }

    /// The last report of this life of a node on what tenants use, if it still counts.
    pub fn usage_report(&self, identity: &NodeIdentity, now: Timestamp) -> Option<EarlierReport> {
        let known = self.peers.get(&identity.name)?;
        let is_same = known.identity.incarnation == identity.incarnation;
        (is_same && self.is_alive(&identity.name, now))
            .then(|| EarlierReport::new(&known.usages, now.since(known.told_at)))
    }

    /// Whether what tenants use at a node is taken from its own reports, and not from those of its
    /// zone.
    pub fn reports_for_itself(&self, name: &NodeName) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.is_near || !self.is_large())
    }

    /// What all other nodes bring pools to read; in a large deployment those of the own zone.
    pub fn reading(&self, now: Timestamp) -> impl Iterator<Item = &PrefillDemandUpdate> {
        let is_large = self.is_large();
        let heard = self
            .alive(now)
            .filter(move |peer| peer.is_near || !is_large);
        heard.flat_map(|peer| peer.reading.iter())
    }

    /// Load of pools at all other nodes; in a large deployment at those of the own zone.
    pub fn pool_loads(&self, now: Timestamp) -> impl Iterator<Item = &PoolLoadUpdate> {
        let is_large = self.is_large();
        let heard = self
            .alive(now)
            .filter(move |peer| peer.is_near || !is_large);
        heard.flat_map(|peer| peer.pool_loads.iter())
    }

    /// Delays of the KV stores as all other nodes have measured them; in a large deployment those of
    /// the own zone.
    pub fn source_delays(&self, now: Timestamp) -> impl Iterator<Item = &SourceDelayUpdate> {
        let is_large = self.is_large();
        let heard = self.peers.values().filter(move |peer| {
            let is_current = now.since(peer.told_at) < SourceDelayUpdate::MAX_AGE;
            is_current && (peer.is_near || !is_large)
        });
        heard.flat_map(|peer| peer.source_delays.iter())
    }

    /// An engine has begun again, without the work that was told of.
    pub fn forget_loads_of(&mut self, engine: &BackEndName) {
        for peer in self.peers.values_mut() {
            peer.loads.retain(|news| news.0 != *engine);
        }
    }

    /// The work of all other nodes at engines; in a large deployment that of the own zone's nodes.
    pub fn loads(&self, now: Timestamp) -> HashMap<BackEndName, EngineLoad> {
        let mut sums: HashMap<BackEndName, EngineLoad> = HashMap::new();
        let is_large = self.is_large();
        for peer in self.alive(now).filter(|peer| peer.is_near || !is_large) {
            for news in &peer.loads {
                sums.entry(news.0.clone()).or_default().add(news.1);
            }
        }
        sums
    }
}
