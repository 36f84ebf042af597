//! This node's part in the cluster.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::identity::{BackEndName, ConfigVersion, Incarnation, NodeName};
use crate::lifecycle::LeavingRegister;
use crate::membership::{
    ClusterStatus, GossipKind, GossipMessage, Gossiper, LeavingRecord, MachineRecord, MemberRecord,
    MemberState, MembershipTable, NewsQueue, NodeLocation, NodeStatus, OutgoingGossip, SyncMessage,
    TableRecords, TableSync, differing_buckets, is_first, is_reader, telling_limit, urgent_targets,
};
use crate::timestamp::Timestamp;

use super::{ByteAllowance, ControlSettings, MachineEntry, MachineRole, Outbox, PeerMessage};

/// This node's part in the cluster: its membership table, probes, exchanges of tables, and the
/// register of leaving back ends.
#[derive(Debug)]
pub struct Cluster {
    address: SocketAddr,
    table: MembershipTable,
    gossiper: Gossiper,
    sync: TableSync,
    register: LeavingRegister,
    leaving_news: NewsQueue<BackEndName, LeavingRecord>,
    machine_news: NewsQueue<SocketAddr, MachineRecord>,
    is_urgent: bool,
    urgent_at: Timestamp,
    register_changed: bool,
    member_allowance: ByteAllowance,
    next_stranger_sync_at: Timestamp,
    next_forget_at: Timestamp,
}

impl Cluster {
    /// Room for news in a datagram of 1,400 bytes beside its frame, which holds at most three names
    /// and the receiver's own record.
    const NEWS_LENGTH: usize = 750;
    /// The same when the datagram carries nothing but news.
    const PURE_NEWS_LENGTH: usize = 1_150;
    /// Room for news of members in one datagram.
    const MEMBER_NEWS_LENGTH: usize = 450;
    /// News of members that a node sends a second; urgent news is not held back.
    const MEMBER_NEWS_PER_SECOND: u64 = 1_000;
    const MEMBER_NEWS_BURST: u64 = 4_000;
    const LEAVING_NEWS_CAPACITY: usize = 4_096;
    /// Time in which urgent news goes out at most once, so that what comes together shares
    /// datagrams.
    const URGENT_EVERY: Duration = Duration::from_millis(100);
    const STRANGER_SYNC_EVERY: Duration = Duration::from_secs(1);
    const FORGET_EVERY: Duration = Duration::from_secs(600);
    const HINTS_PER_READING: usize = 2;

    /// The part of a node that starts.
    pub fn new(settings: &ControlSettings) -> Self {
        let own = own_record(settings);
        let seeds = settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != settings.address)
            .collect();
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            address: settings.address,
            table: MembershipTable::new(own.location.clone(), random),
            gossiper: Gossiper::new(own),
            sync: TableSync::new(seeds),
            register: LeavingRegister::default(),
            leaving_news: NewsQueue::new(Self::LEAVING_NEWS_CAPACITY),
            machine_news: NewsQueue::new(Self::LEAVING_NEWS_CAPACITY),
            is_urgent: false,
            urgent_at: Timestamp::ZERO,
            register_changed: false,
            member_allowance: ByteAllowance::new(
                Self::MEMBER_NEWS_PER_SECOND,
                Self::MEMBER_NEWS_BURST,
            ),
            next_stranger_sync_at: Timestamp::ZERO,
            next_forget_at: Timestamp::ZERO,
        }
    }

    /// The process started.
    pub fn start(&mut self, now: Timestamp, outbox: &mut Outbox) {
        // Nodes that start together spread over the seeds.
        let first_seed = self.table.random().random_range(0..u64::from(u16::MAX));
        self.sync.start(first_seed, now);
        self.join(now, outbox);
    }

    /// All other nodes.
    pub fn table(&self) -> &MembershipTable {
        &self.table
    }

    /// This node's own record.
    pub fn own(&self) -> &MemberRecord {
        self.gossiper.own()
    }

    /// The register of leaving back ends.
    pub fn register(&mut self) -> &mut LeavingRegister {
        &mut self.register
    }

    /// The address of a node, this one among them.
    pub fn address_of(&self, name: &NodeName) -> Option<SocketAddr> {
        if self.own().name == *name {
            return Some(self.address);
        }
        self.table.get(name).map(|member| member.record.address)
    }

    /// Whether the register changed since this was asked last.
    pub fn take_register_changed(&mut self) -> bool {
        std::mem::take(&mut self.register_changed)
    }

    /// Whether this node is one of the few of its zone that read the platform.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.sync.is_settled(now) && is_reader(self.own(), &self.table)
    }

    /// Whether this node does what one node of the cluster is enough for.
    pub fn is_first(&self, now: Timestamp) -> bool {
        self.sync.is_settled(now) && is_first(self.own(), &self.table)
    }

    /// Nodes to be told urgent news; seeds while no others are known.
    pub fn urgent_targets(&mut self) -> Vec<SocketAddr> {
        urgent_targets(&mut self.table)
    }

    /// Peers to ask for a configuration: of several zones, seeds while no others are known.
    pub fn bootstrap_targets(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut targets: BTreeSet<SocketAddr> = self.sync.seeds().iter().copied().collect();
        targets.extend(urgent_targets(&mut self.table));
        targets.remove(&self.address);
        rotate(targets, count, self.gossiper.next_turn())
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp, outbox: &mut Outbox) {
        self.gossiper.tick(&mut self.table, now);
        self.join(now, outbox);
        self.synchronise(now, outbox);
        if self.is_urgent && now.since(self.urgent_at) >= Self::URGENT_EVERY {
            self.tell_urgent_news(now);
        }
        if now >= self.next_forget_at {
            self.next_forget_at = now.after(Self::FORGET_EVERY);
            self.table.forget(now);
        }
    }

    /// Takes gossip.
    pub fn receive_gossip(
        &mut self,
        from: SocketAddr,
        message: GossipMessage,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if message.from == self.own().name {
            return;
        }
        for record in message.leaving {
            self.merge_leaving(record, now);
        }
        for record in message.machines {
            self.merge_machine(record, now);
        }
        for record in message.members {
            self.merge_member(record, now);
        }
        match self.table.get_mut(&message.from) {
            Some(member) => {
                member.heard_at = Some(now);
                member.config_version = message.config_version;
            }
            None => self.meet_stranger(from, now, outbox),
        }
        self.gossiper
            .receive(from, &message.from, message.kind, &mut self.table, now);
    }

    /// Takes a message of an exchange of tables.
    pub fn receive_sync(
        &mut self,
        from: SocketAddr,
        message: SyncMessage,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        match message {
            SyncMessage::Join { member } => {
                self.merge_member(member, now);
                let records = TableRecords {
                    members: self.all_members(),
                    leaving: self.register.records(),
                    machines: self.register.machine_records(),
                    ..TableRecords::default()
                };
                send_records(from, records, outbox);
            }
            SyncMessage::Digest { members, leaving } => {
                self.compare(from, &members, leaving, outbox);
            }
            SyncMessage::Records(records) => self.take_records(from, records, now, outbox),
        }
    }

    /// This node saw a back end say which process it is and whether it leaves.
    pub fn observe(
        &mut self,
        back_end: BackEndName,
        incarnation: Incarnation,
        leaving: bool,
        now: Timestamp,
    ) {
        let news = self.register.observe(back_end, incarnation, leaving);
        self.tell_leaving(news, now);
    }

    /// This node read the machine list.
    pub fn read_machines(&mut self, entries: &[MachineEntry], now: Timestamp) {
        for news in self.register.read_machines(entries, now) {
            self.tell_machine(Some(news), now);
        }
        let strangers = entries
            .iter()
            .filter(|entry| entry.role == MachineRole::Router)
            .map(|entry| entry.address)
            .filter(|address| *address != self.address && !self.table.has_address(address))
            .take(Self::HINTS_PER_READING);
        for address in strangers {
            self.sync.hint(address);
        }
    }

    /// Tells others that this node stops.
    pub fn leave(&mut self) {
        self.gossiper.leave(&mut self.table);
    }

    /// Asks every live node which configuration is in force on it.
    pub fn ask_all(&mut self) {
        self.gossiper.ask_all(&self.table);
    }

    /// What is known of all nodes.
    pub fn status(&self, own_version: ConfigVersion, now: Timestamp) -> ClusterStatus {
        let own = node_status(self.own(), own_version, Some(now));
        let others = self
            .table
            .iter()
            .map(|member| node_status(&member.record, member.config_version, member.heard_at));
        let mut nodes: Vec<NodeStatus> = others.chain(std::iter::once(own)).collect();
        nodes.sort_by(|left, right| left.name.cmp(&right.name));
        let newest_config = nodes.iter().map(|node| node.config_version).max();
        ClusterStatus {
            newest_config: newest_config.unwrap_or_default(),
            nodes,
        }
    }

    /// Sends what has gathered.
    pub fn flush(&mut self, config_version: ConfigVersion, now: Timestamp, outbox: &mut Outbox) {
        for gossip in self.gossiper.take_outgoing() {
            let to = gossip.to;
            let message = self.compose(gossip, config_version, now);
            outbox.datagram(to, PeerMessage::Gossip(message));
        }
    }

    fn compose(
        &mut self,
        gossip: OutgoingGossip,
        config_version: ConfigVersion,
        now: Timestamp,
    ) -> GossipMessage {
        let mut message = GossipMessage {
            from: self.own().name.clone(),
            kind: gossip.kind,
            config_version,
            leaving: Vec::new(),
            machines: Vec::new(),
            members: gossip.about_receiver.into_iter().collect(),
        };
        if gossip.carries_news {
            self.add_news(&mut message, now);
        }
        message
    }

    fn add_news(&mut self, message: &mut GossipMessage, now: Timestamp) {
        let limit = telling_limit(self.table.live_count());
        let is_pure = message.kind == GossipKind::News && message.members.is_empty();
        let mut room = if is_pure {
            Self::PURE_NEWS_LENGTH
        } else {
            Self::NEWS_LENGTH
        };
        if !self.leaving_news.is_empty() {
            message.leaving = self.leaving_news.take(&mut room, limit);
        }
        if !self.machine_news.is_empty() {
            message.machines = self.machine_news.take(&mut room, limit);
        }
        let allowed = self.member_allowance.available(now) as usize;
        let mut member_room = room.min(Self::MEMBER_NEWS_LENGTH).min(allowed);
        let granted = member_room;
        let news = self.gossiper.take_news(&mut member_room, &self.table);
        self.member_allowance.spend((granted - member_room) as u64);
        message.members.extend(news);
    }

    fn join(&mut self, now: Timestamp, outbox: &mut Outbox) {
        if let Some(seed) = self.sync.join_target(&self.table, now) {
            let member = self.own().clone();
            outbox.stream(seed, PeerMessage::Sync(SyncMessage::Join { member }));
        }
    }

    fn synchronise(&mut self, now: Timestamp, outbox: &mut Outbox) {
        if !self.sync.is_due(now) {
            return;
        }
        if let Some(to) = self.table.random_live_address() {
            self.send_digest(to, outbox);
        }
    }

    fn send_digest(&self, to: SocketAddr, outbox: &mut Outbox) {
        let message = SyncMessage::Digest {
            members: self.table.digest(self.own()),
            leaving: self.register.digest(),
        };
        outbox.stream(to, PeerMessage::Sync(message));
    }

    /// A node that is not in the table sent gossip: each may lack the other's part of the cluster.
    fn meet_stranger(&mut self, from: SocketAddr, now: Timestamp, outbox: &mut Outbox) {
        if now < self.next_stranger_sync_at {
            return;
        }
        self.next_stranger_sync_at = now.after(Self::STRANGER_SYNC_EVERY);
        self.send_digest(from, outbox);
    }

    fn compare(&self, from: SocketAddr, members: &[u32], leaving: u32, outbox: &mut Outbox) {
        let differing = differing_buckets(&self.table.digest(self.own()), members);
        let leaving_differs = leaving != self.register.digest();
        if differing.is_empty() && !leaving_differs {
            return;
        }
        let mut records = self.records_in(&differing, leaving_differs);
        records.wanted_buckets = differing.into_iter().collect();
        records.wants_leaving = leaving_differs;
        send_records(from, records, outbox);
    }

    fn take_records(
        &mut self,
        from: SocketAddr,
        records: TableRecords,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.sync.joined();
        for record in records.members {
            if self.gossiper.merge_quietly(record, &mut self.table, now) {
                // Where one exchange found differences, the next one may find more.
                self.sync.hasten(now);
            }
        }
        for record in records.leaving {
            self.merge_leaving(record, now);
        }
        for record in records.machines {
            self.merge_machine(record, now);
        }
        if records.wanted_buckets.is_empty() && !records.wants_leaving {
            return;
        }
        let wanted = records.wanted_buckets.into_iter().collect();
        send_records(
            from,
            self.records_in(&wanted, records.wants_leaving),
            outbox,
        );
    }

    fn records_in(&self, buckets: &BTreeSet<usize>, with_leaving: bool) -> TableRecords {
        let mut records = TableRecords {
            members: self.table.records_in(buckets, self.own()),
            ..TableRecords::default()
        };
        if with_leaving {
            records.leaving = self.register.records();
            records.machines = self.register.machine_records();
        }
        records
    }

    fn all_members(&self) -> Vec<MemberRecord> {
        let others = self.table.live().map(|member| member.record.clone());
        others.chain(std::iter::once(self.own().clone())).collect()
    }

    fn merge_member(&mut self, record: MemberRecord, now: Timestamp) {
        let was_failed = self
            .table
            .get(&record.name)
            .is_some_and(|member| member.record.state == MemberState::Failed);
        let is_new = self.gossiper.merge(record, &mut self.table, now);
        if is_new && self.member_allowance.available(now) > Self::MEMBER_NEWS_LENGTH as u64 {
            self.urge(now);
        }
        if was_failed && is_new {
            // Likely a partition is over, and there is much more to learn.
            self.sync.hasten(now);
        }
    }

    fn merge_leaving(&mut self, record: LeavingRecord, now: Timestamp) {
        let news = self.register.merge(record);
        self.tell_leaving(news, now);
    }

    fn merge_machine(&mut self, record: MachineRecord, now: Timestamp) {
        let news = self.register.merge_machine(record);
        self.tell_machine(news, now);
    }

    fn tell_leaving(&mut self, news: Option<LeavingRecord>, now: Timestamp) {
        let Some(record) = news else {
            return;
        };
        self.leaving_news.insert(record.back_end.clone(), record);
        self.register_changed = true;
        self.urge(now);
    }

    fn tell_machine(&mut self, news: Option<MachineRecord>, now: Timestamp) {
        let Some(record) = news else {
            return;
        };
        self.machine_news.insert(record.address, record);
        self.register_changed = true;
        self.urge(now);
    }

    fn urge(&mut self, now: Timestamp) {
        self.is_urgent = true;
        if now.since(self.urgent_at) >= Self::URGENT_EVERY {
            self.tell_urgent_news(now);
        }
    }

    fn tell_urgent_news(&mut self, now: Timestamp) {
        self.urgent_at = now;
        let waiting = self.leaving_news.untold() + self.machine_news.untold();
        let rounds = waiting.div_ceil(Self::RECORDS_PER_ROUND);
        for _ in 0..rounds.clamp(1, Self::MAX_ROUNDS) {
            self.gossiper.tell_some(&mut self.table);
        }
        self.is_urgent = waiting > 0 && rounds > 1;
        if rounds > 1 {
            // Tables are the cheaper way to tell much.
            self.sync.hasten(now);
        }
    }

    /// Records that one round of datagrams to a few nodes carries.
    const RECORDS_PER_ROUND: usize = 60;
    /// Rounds that go out at once when much leaves together, such as a zone.
    const MAX_ROUNDS: usize = 4;
}

fn own_record(settings: &ControlSettings) -> MemberRecord {
    MemberRecord {
        name: settings.name.clone(),
        incarnation: settings.incarnation,
        state: MemberState::Alive,
        address: settings.address,
        location: NodeLocation {
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
            zone: settings.zone.clone(),
        },
    }
}

fn node_status(
    record: &MemberRecord,
    config_version: ConfigVersion,
    heard_at: Option<Timestamp>,
) -> NodeStatus {
    NodeStatus {
        name: record.name.clone(),
        address: record.address,
        location: record.location.clone(),
        incarnation: record.incarnation,
        state: record.state,
        config_version,
        heard_at,
    }
}

fn send_records(to: SocketAddr, records: TableRecords, outbox: &mut Outbox) {
    outbox.stream(to, PeerMessage::Sync(SyncMessage::Records(records)));
}

/// `count` of `addresses`, others in each turn.
fn rotate(addresses: BTreeSet<SocketAddr>, count: usize, turn: u64) -> Vec<SocketAddr> {
    let total = addresses.len().max(1);
    let skipped = (turn as usize * count) % total;
    let again = addresses.clone();
    addresses
        .into_iter()
        .skip(skipped)
        .chain(again)
        .take(count.min(total))
        .collect()
}
