//! Probes other nodes and passes news on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::identity::{Incarnation, NodeName};
use crate::timestamp::Timestamp;

use super::{
    GossipKind, MemberRecord, MemberState, MembershipTable, NewsQueue, OutgoingGossip, Probe,
    Proximity, Relay,
};

/// Probes one other node a period, asks others to probe it when it does not answer, suspects it
/// when they can't reach it either, and refutes suspicions of this node.
///
/// What a node sends a second depends on the period and on the news there is, not on how many
/// nodes there are.
#[derive(Debug)]
pub struct Gossiper {
    own: MemberRecord,
    news: NewsQueue<NodeName, MemberRecord>,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    outgoing: Vec<OutgoingGossip>,
    sequence: u64,
    /// Failed probes without a successful one since, up to [`Self::MAX_IMPAIRMENT`]: the more, the
    /// likelier the fault lies with this node itself.
    impairment: u32,
    next_probe_at: Timestamp,
    next_reconnect_at: Timestamp,
    last_tick: Option<Timestamp>,
}

impl Gossiper {
    /// Time between probes.
    pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
    /// Time after which others are asked to probe a node that has not answered.
    pub const INDIRECT_AFTER: Duration = Duration::from_millis(400);
    /// How many others are asked.
    pub const INDIRECT_PROBES: usize = 3;
    /// How many records of news wait at most.
    pub const NEWS_CAPACITY: usize = 256;
    const RECONNECT_PERIOD: Duration = Duration::from_secs(10);
    const RELAY_TIMEOUT: Duration = Duration::from_secs(5);
    const MAX_IMPAIRMENT: u32 = 4;
    /// Between two ticks further apart than this the process was paused.
    const PAUSE: Duration = Duration::from_secs(1);

    /// Gossip of a node that starts.
    pub fn new(own: MemberRecord) -> Self {
        let mut news = NewsQueue::new(Self::NEWS_CAPACITY);
        news.insert(own.name.clone(), own.clone());
        Self {
            own,
            news,
            probe: None,
            relays: BTreeMap::new(),
            outgoing: Vec::new(),
            sequence: 0,
            impairment: 0,
            next_probe_at: Timestamp::ZERO,
            next_reconnect_at: Timestamp::ZERO,
            last_tick: None,
        }
    }

    /// This node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Whether so many probes failed that this node itself seems cut off.
    pub fn seems_cut_off(&self) -> bool {
        self.impairment >= Self::MAX_IMPAIRMENT
    }

    /// Messages to be sent.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingGossip> {
        std::mem::take(&mut self.outgoing)
    }

    /// News of members for one message; takes its length off `room` bytes.
    pub fn take_news(&mut self, room: &mut usize, table: &MembershipTable) -> Vec<MemberRecord> {
        if self.news.is_empty() {
            return Vec::new();
        }
        self.news.take(room, telling_limit(table.live_count()))
    }

    /// A number that differs each time.
    pub fn next_turn(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Lets time pass.
    pub fn tick(&mut self, table: &mut MembershipTable, now: Timestamp) {
        self.notice_pause(table, now);
        self.relays
            .retain(|_, relay| now.since(relay.asked_at) < Self::RELAY_TIMEOUT);
        self.continue_probe(table, now);
        if now >= self.next_probe_at {
            self.start_probe(table, now);
        }
        if now >= self.next_reconnect_at {
            self.reconnect(table, now);
        }
        self.expire_suspicions(table, now);
    }

    /// Takes the question or answer of a gossip message.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        sender: &NodeName,
        kind: GossipKind,
        table: &mut MembershipTable,
        now: Timestamp,
    ) {
        let doubt = self.doubt_of(sender, table);
        match kind {
            GossipKind::Ping { sequence, target } => {
                if target == self.own.name {
                    let kind = GossipKind::Acknowledge { sequence };
                    self.send(from, kind, doubt);
                }
            }
            GossipKind::Acknowledge { sequence } => self.acknowledged(sequence),
            GossipKind::PingRequest {
                sequence,
                target,
                address,
            } => self.relay(from, sequence, target, address, now),
            GossipKind::News => {
                if doubt.is_some() {
                    self.send(from, GossipKind::News, doubt);
                }
            }
        }
    }

    /// Takes a record from a message or from an exchange of tables; says whether it was new.
    pub fn merge(
        &mut self,
        record: MemberRecord,
        table: &mut MembershipTable,
        now: Timestamp,
    ) -> bool {
        if record.name == self.own.name {
            self.refute(&record, table);
            return false;
        }
        let Some(news) = table.merge(record, now) else {
            return false;
        };
        self.news.insert(news.name.clone(), news);
        true
    }

    /// Takes a record that an exchange of tables brought; others get it the same way, so it is no
    /// news. Says whether it was new.
    pub fn merge_quietly(
        &mut self,
        record: MemberRecord,
        table: &mut MembershipTable,
        now: Timestamp,
    ) -> bool {
        if record.name == self.own.name {
            self.refute(&record, table);
            return false;
        }
        table.merge(record, now).is_some()
    }

    /// Pings every live node, so that each says which configuration is in force on it.
    pub fn ask_all(&mut self, table: &MembershipTable) {
        for member in table.live() {
            let target = member.record.name.clone();
            self.ping(member.record.address, target, None);
            if let Some(message) = self.outgoing.last_mut() {
                message.carries_news = false;
            }
        }
    }

    /// Tells others that this node stops.
    pub fn leave(&mut self, table: &mut MembershipTable) {
        self.own.state = MemberState::Left;
        self.tell_own_record(table);
    }

    /// Sends urgent news to a few nodes of each proximity.
    pub fn tell_some(&mut self, table: &mut MembershipTable) {
        for to in urgent_targets(table) {
            self.send(to, GossipKind::News, None);
        }
    }

    fn notice_pause(&mut self, table: &mut MembershipTable, now: Timestamp) {
        let pause = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if pause < Self::PAUSE {
            return;
        }
        // Answers may have come while this process did not run, so no verdict is due.
        self.probe = None;
        table.extend_suspicions(pause);
    }

    fn start_probe(&mut self, table: &mut MembershipTable, now: Timestamp) {
        self.next_probe_at = now.after(Self::PROBE_PERIOD);
        if self.probe.is_some() {
            return;
        }
        let Some(target) = next_target(table) else {
            return;
        };
        let Some(address) = table.get(&target).map(|member| member.record.address) else {
            return;
        };
        let sequence = self.ping(address, target.clone(), self.doubt_of(&target, table));
        self.probe = Some(Probe {
            target,
            sequence,
            started_at: now,
            is_indirect: false,
        });
    }

    fn continue_probe(&mut self, table: &mut MembershipTable, now: Timestamp) {
        let patience = 1 + self.impairment;
        let Some(probe) = &mut self.probe else {
            return;
        };
        let waited = now.since(probe.started_at);
        if waited >= Self::PROBE_PERIOD * patience {
            let target = probe.target.clone();
            self.probe = None;
            self.probe_failed(&target, table, now);
        } else if waited >= Self::INDIRECT_AFTER && !probe.is_indirect {
            probe.is_indirect = true;
            let probe = probe.clone();
            self.ask_others(&probe, table);
        }
    }

    fn ask_others(&mut self, probe: &Probe, table: &mut MembershipTable) {
        let Some(address) = table.get(&probe.target).map(|member| member.record.address) else {
            return;
        };
        for helper in helpers(table, &probe.target) {
            let kind = GossipKind::PingRequest {
                sequence: probe.sequence,
                target: probe.target.clone(),
                address,
            };
            self.send(helper, kind, None);
        }
    }

    fn probe_failed(&mut self, target: &NodeName, table: &mut MembershipTable, now: Timestamp) {
        self.impairment = (self.impairment + 1).min(Self::MAX_IMPAIRMENT);
        if self.seems_cut_off() {
            return;
        }
        let Some(member) = table.get(target) else {
            return;
        };
        let mut record = member.record.clone();
        if record.state == MemberState::Alive {
            record.state = MemberState::Suspect;
            self.merge(record, table, now);
        }
    }

    fn acknowledged(&mut self, sequence: u64) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let kind = GossipKind::Acknowledge {
                sequence: relay.sequence,
            };
            self.send(relay.origin, kind, None);
            return;
        }
        let is_current = |probe: &Probe| probe.sequence == sequence;
        if self.probe.as_ref().is_some_and(is_current) {
            self.probe = None;
            self.impairment = self.impairment.saturating_sub(1);
        }
    }

    fn relay(
        &mut self,
        origin: SocketAddr,
        sequence: u64,
        target: NodeName,
        address: SocketAddr,
        now: Timestamp,
    ) {
        let own_sequence = self.ping(address, target, None);
        self.relays.insert(
            own_sequence,
            Relay {
                origin,
                sequence,
                asked_at: now,
            },
        );
    }

    /// Pings a failed node now and then: after a partition the two sides find each other so.
    fn reconnect(&mut self, table: &mut MembershipTable, now: Timestamp) {
        self.next_reconnect_at = now.after(Self::RECONNECT_PERIOD);
        if let Some(member) = table.random_failed() {
            let record = member.record.clone();
            self.ping(record.address, record.name.clone(), Some(record));
        }
    }

    fn expire_suspicions(&mut self, table: &mut MembershipTable, now: Timestamp) {
        if self.seems_cut_off() {
            table.extend_suspicions(Self::PROBE_PERIOD);
            return;
        }
        for verdict in table.expire_suspicions(now) {
            self.news.insert(verdict.name.clone(), verdict);
        }
    }

    fn refute(&mut self, record: &MemberRecord, table: &mut MembershipTable) {
        if self.own.state == MemberState::Left {
            return;
        }
        if record.supersedes(&self.own) {
            self.own.incarnation = Incarnation(record.incarnation.0 + 1);
            self.tell_own_record(table);
        } else if record.state != MemberState::Alive {
            // The sender has not heard the refutation, so others may not have either.
            self.news.insert(self.own.name.clone(), self.own.clone());
        }
    }

    fn tell_own_record(&mut self, table: &mut MembershipTable) {
        self.news.insert(self.own.name.clone(), self.own.clone());
        // Twice, because the links of a node that is suspected are likely bad.
        self.tell_some(table);
        self.tell_some(table);
    }

    /// What this node believes of `name` if that node should know it.
    fn doubt_of(&self, name: &NodeName, table: &MembershipTable) -> Option<MemberRecord> {
        table
            .get(name)
            .filter(|member| member.record.state != MemberState::Alive)
            .map(|member| member.record.clone())
    }

    fn ping(
        &mut self,
        to: SocketAddr,
        target: NodeName,
        about_receiver: Option<MemberRecord>,
    ) -> u64 {
        self.sequence += 1;
        let sequence = self.sequence;
        self.send(to, GossipKind::Ping { sequence, target }, about_receiver);
        sequence
    }

    fn send(&mut self, to: SocketAddr, kind: GossipKind, about_receiver: Option<MemberRecord>) {
        self.outgoing.push(OutgoingGossip {
            to,
            kind,
            about_receiver,
            carries_news: true,
        });
    }
}

/// How many messages carry an item of news: enough that it reaches all of `nodes` with high
/// probability.
pub fn telling_limit(nodes: usize) -> u32 {
    2 * (nodes + 2).ilog2() + 2
}

/// A few nodes of each proximity.
pub fn urgent_targets(table: &mut MembershipTable) -> Vec<SocketAddr> {
    let mut targets = Vec::new();
    for proximity in Proximity::ALL {
        for _ in 0..proximity.fan_out() {
            targets.extend(random_address(table, proximity));
        }
    }
    targets.sort();
    targets.dedup();
    targets
}

fn random_address(table: &mut MembershipTable, proximity: Proximity) -> Option<SocketAddr> {
    let (ring, random) = table.ring(proximity);
    let name = ring.pick(random).cloned()?;
    table.get(&name).map(|member| member.record.address)
}

fn next_target(table: &mut MembershipTable) -> Option<NodeName> {
    use rand::Rng;
    let present: Vec<Proximity> = Proximity::ALL
        .into_iter()
        .filter(|proximity| !table.ring_names(*proximity).is_empty())
        .collect();
    let total: u32 = present.iter().map(|near| near.probe_weight()).sum();
    if total == 0 {
        return None;
    }
    let mut draw = table.random().random_range(0..total);
    for proximity in present {
        if draw < proximity.probe_weight() {
            let (ring, random) = table.ring(proximity);
            return ring.advance(random);
        }
        draw -= proximity.probe_weight();
    }
    None
}

/// Nodes that may reach `target` where this one can't: of different proximity, so that a cut
/// between two zones or on one link does not look like a failure.
fn helpers(table: &mut MembershipTable, target: &NodeName) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let mut proximities = Proximity::ALL.into_iter().cycle();
    for _ in 0..2 * Gossiper::INDIRECT_PROBES {
        let Some(proximity) = proximities.next() else {
            break;
        };
        let (ring, random) = table.ring(proximity);
        let Some(name) = ring.pick(random).cloned() else {
            continue;
        };
        let address = table.get(&name).map(|member| member.record.address);
        if name != *target && !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses
        .into_iter()
        .flatten()
        .take(Gossiper::INDIRECT_PROBES)
        .collect()
}
