//! The membership table.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::{Member, MemberRecord, MemberState, NodeLocation, Proximity, TargetRing};

/// All nodes this node knows of, other than itself.
#[derive(Debug)]
pub struct MembershipTable {
    location: NodeLocation,
    members: BTreeMap<NodeName, Member>,
    rings: BTreeMap<Proximity, TargetRing>,
    suspicions: BTreeSet<(Timestamp, NodeName)>,
    failed: BTreeSet<NodeName>,
    generation: u64,
    random: ChaCha8Rng,
}

impl MembershipTable {
    /// Buckets of the digest that two nodes compare.
    pub const BUCKETS: usize = 64;
    /// How long a suspect has to refute.
    pub const SUSPICION: Duration = Duration::from_secs(10);
    /// How long a failed node is remembered and tried again, so that parts of the cluster that
    /// lost each other find together; longer than any partition to be expected.
    pub const FORGET_AFTER: Duration = Duration::from_secs(6 * 3_600);

    /// An empty table of a node at `location`.
    pub fn new(location: NodeLocation, random: ChaCha8Rng) -> Self {
        Self {
            location,
            members: BTreeMap::new(),
            rings: Proximity::ALL
                .into_iter()
                .map(|proximity| (proximity, TargetRing::default()))
                .collect(),
            suspicions: BTreeSet::new(),
            failed: BTreeSet::new(),
            generation: 0,
            random,
        }
    }

    /// Rises whenever the set of live nodes changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// A node.
    pub fn get(&self, name: &NodeName) -> Option<&Member> {
        self.members.get(name)
    }

    /// A node.
    pub fn get_mut(&mut self, name: &NodeName) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    /// All nodes in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Live nodes in order of name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_live())
    }

    /// Number of live nodes.
    pub fn live_count(&self) -> usize {
        self.rings.values().map(|ring| ring.names().len()).sum()
    }

    /// Live nodes that are so near.
    pub fn ring(&mut self, proximity: Proximity) -> (&mut TargetRing, &mut ChaCha8Rng) {
        let ring = self.rings.entry(proximity).or_default();
        (ring, &mut self.random)
    }

    /// Live nodes that are so near, in no particular order.
    pub fn ring_names(&self, proximity: Proximity) -> &[NodeName] {
        self.rings.get(&proximity).map_or(&[], TargetRing::names)
    }

    /// The generator of random choices.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Some failed node.
    pub fn random_failed(&mut self) -> Option<&Member> {
        use rand::seq::IteratorRandom;
        let name = self.failed.iter().choose(&mut self.random)?;
        self.members.get(name)
    }

    /// The address of some live node.
    pub fn random_live_address(&mut self) -> Option<SocketAddr> {
        use rand::seq::IndexedRandom;
        let names: Vec<&NodeName> = self.rings.values().flat_map(TargetRing::names).collect();
        let name = names.choose(&mut self.random)?;
        self.members.get(*name).map(|member| member.record.address)
    }

    /// Whether a live node has this address.
    pub fn has_address(&self, address: &SocketAddr) -> bool {
        self.live().any(|member| member.record.address == *address)
    }

    /// Takes a record; gives what is believed now when that changed.
    ///
    /// A node goes from alive to failed only through suspicion, so that it can refute: a verdict of
    /// others on a node that is alive to this one counts as a suspicion.
    pub fn merge(&mut self, mut record: MemberRecord, now: Timestamp) -> Option<MemberRecord> {
        let Some(known) = self.members.get(&record.name) else {
            return self.learn(record, now);
        };
        let is_verdict = record.state == MemberState::Failed;
        if is_verdict && known.record.state == MemberState::Alive {
            record.state = MemberState::Suspect;
        }
        if !record.supersedes(&known.record) {
            return None;
        }
        self.replace(record.clone(), now);
        Some(record)
    }

    /// Confirms suspicions whose time is over; gives the verdicts.
    pub fn expire_suspicions(&mut self, now: Timestamp) -> Vec<MemberRecord> {
        let mut verdicts = Vec::new();
        while let Some((deadline, name)) = self.suspicions.first().cloned() {
            if deadline > now {
                break;
            }
            self.suspicions.pop_first();
            verdicts.extend(self.confirm(&name, now));
        }
        verdicts
    }

    /// Gives every suspect more time, because this node could not hear refutations.
    pub fn extend_suspicions(&mut self, by: Duration) {
        let suspicions = std::mem::take(&mut self.suspicions);
        self.suspicions = suspicions
            .into_iter()
            .map(|(deadline, name)| (deadline.after(by), name))
            .collect();
    }

    /// Forgets nodes that are gone for long.
    pub fn forget(&mut self, now: Timestamp) {
        let failed = &mut self.failed;
        self.members.retain(|name, member| {
            let keep = member.is_live() || now.since(member.since) < Self::FORGET_AFTER;
            if !keep {
                failed.remove(name);
            }
            keep
        });
    }

    /// Hashes of the live nodes, one a bucket; `own` is this node itself.
    pub fn digest(&self, own: &MemberRecord) -> Vec<u32> {
        let mut hashes = vec![0; Self::BUCKETS];
        let records = self.live().map(|member| &member.record);
        for record in records.chain(std::iter::once(own)) {
            hashes[bucket_of(&record.name)] ^= record_hash(record);
        }
        hashes
    }

    /// Records of live nodes in some buckets, `own` among them.
    pub fn records_in(&self, buckets: &BTreeSet<usize>, own: &MemberRecord) -> Vec<MemberRecord> {
        self.live()
            .map(|member| &member.record)
            .chain(std::iter::once(own))
            .filter(|record| buckets.contains(&bucket_of(&record.name)))
            .cloned()
            .collect()
    }

    fn learn(&mut self, record: MemberRecord, now: Timestamp) -> Option<MemberRecord> {
        if !matches!(record.state, MemberState::Alive | MemberState::Suspect) {
            return None;
        }
        self.replace(record.clone(), now);
        Some(record)
    }

    fn confirm(&mut self, name: &NodeName, now: Timestamp) -> Option<MemberRecord> {
        let member = self.members.get(name)?;
        let is_due = now.since(member.since) >= Self::SUSPICION;
        if member.record.state != MemberState::Suspect || !is_due {
            return None;
        }
        let mut record = member.record.clone();
        record.state = MemberState::Failed;
        self.replace(record.clone(), now);
        Some(record)
    }

    fn replace(&mut self, record: MemberRecord, now: Timestamp) {
        let name = record.name.clone();
        let before = self.members.remove(&name);
        let was_live = before.as_ref().is_some_and(Member::is_live);
        let member = Member {
            config_version: before
                .as_ref()
                .map_or_else(Default::default, |member| member.config_version),
            heard_at: before.as_ref().and_then(|member| member.heard_at),
            record,
            since: now,
        };
        let proximity = Proximity::between(&self.location, &member.record.location);
        let moved = before
            .as_ref()
            .is_some_and(|old| old.record.location != member.record.location);
        if was_live && (moved || !member.is_live()) {
            self.leave_rings(&name);
        }
        if member.is_live() && (moved || !was_live) {
            let ring = self.rings.entry(proximity).or_default();
            ring.insert(name.clone(), &mut self.random);
            self.generation += 1;
        }
        self.note_state(&member, now);
        self.members.insert(name, member);
    }

    fn leave_rings(&mut self, name: &NodeName) {
        for ring in self.rings.values_mut() {
            ring.remove(name);
        }
        self.generation += 1;
    }

    fn note_state(&mut self, member: &Member, now: Timestamp) {
        let name = &member.record.name;
        match member.record.state {
            MemberState::Suspect => {
                self.suspicions
                    .insert((now.after(Self::SUSPICION), name.clone()));
            }
            MemberState::Failed => {
                self.failed.insert(name.clone());
            }
            MemberState::Alive | MemberState::Left => {}
        }
        if member.record.state != MemberState::Failed {
            self.failed.remove(name);
        }
    }
}

fn bucket_of(name: &NodeName) -> usize {
    (xxh3_64(name.as_str().as_bytes()) % MembershipTable::BUCKETS as u64) as usize
}

fn record_hash(record: &MemberRecord) -> u32 {
    let text = format!("{} {}", record.name, record.incarnation);
    xxh3_64(text.as_bytes()) as u32
}
