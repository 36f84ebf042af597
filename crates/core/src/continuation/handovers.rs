//! Records on their way to the node that writes them to the store.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Entry, Shard, StreamId, Writer, first_of_shard};
use crate::Timestamp;

/// Time within which a node confirms records that were handed to it; otherwise another one gets them.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a node that has not confirmed records gets no further ones.
pub const SILENCE_TIME: Duration = Duration::from_secs(10);
/// Number of nodes that are tried in turn before a node writes itself.
const CANDIDATES: usize = 16;
/// How long a node that others take for a writer is one for this node too.
pub const NAMED_TIME: Duration = Duration::from_secs(3);
/// Number of nodes that are kept of those that others have named for a shard.
const MAX_NAMED: usize = 4;
/// Maximum number of records that wait.
const MAX_WAITING: usize = 8_192;

/// A record that waits.
#[derive(Debug)]
struct Handover<T> {
    entry: Entry,
    /// The node that is to confirm it; `None` while the writer is undecided.
    receiver: Option<T>,
    begun_at: Timestamp,
}

/// A node that another one takes for a writer.
#[derive(Debug)]
struct Named<T> {
    name_hash: u64,
    node: T,
    told_at: Timestamp,
}

impl<T> Named<T> {
    fn is_recent(&self, now: Timestamp) -> bool {
        now.since(self.told_at) < NAMED_TIME
    }
}

/// Records on their way to the node that writes them to the store, bounded in number.
///
/// Nodes that know different others choose different writers. A node therefore passes records on to the one that it takes
/// for the writer, which ranks before it for the shard, so that they reach the best node that those on the way know. A node
/// is responsible for a record until it has written it or another node has confirmed it.
#[derive(Debug)]
pub struct Handovers<T> {
    waiting: BTreeMap<StreamId, Handover<T>>,
    /// When nodes last confirmed records.
    confirmed_at: BTreeMap<T, Timestamp>,
    /// When nodes last failed to.
    missed_at: BTreeMap<T, Timestamp>,
    /// Nodes that others take for the writers of shards and hear themselves.
    named: BTreeMap<Shard, Vec<Named<T>>>,
}

impl<T> Default for Handovers<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            confirmed_at: BTreeMap::new(),
            missed_at: BTreeMap::new(),
            named: BTreeMap::new(),
        }
    }
}

impl<T: Copy + Ord> Handovers<T> {
    /// Handles that another node takes this one, whose name has the hash `name_hash`, for the writer of a shard.
    pub fn note_named(&mut self, shard: Shard, name_hash: u64, node: T, now: Timestamp) {
        let named = self.named.entry(shard).or_default();
        named.retain(|named| named.node != node && named.is_recent(now));
        let news = Named {
            name_hash,
            node,
            told_at: now,
        };
        let known = named.drain(..).chain([news]);
        *named = first_of_shard(
            shard,
            known.map(|named| (named.name_hash, named)),
            MAX_NAMED,
        );
    }

    /// Nodes that others have named lately for a shard, but for the one whose name has the hash `own`.
    fn named(&self, shard: Shard, own: u64, now: Timestamp) -> impl Iterator<Item = (u64, T)> {
        let named = self.named.get(&shard).into_iter().flatten();
        let named = named.filter(move |named| named.name_hash != own && named.is_recent(now));
        named.map(|named| (named.name_hash, named.node))
    }

    /// The writer of a shard by rendezvous hashing over this node, whose name has the hash `own`, `others`, and nodes that
    /// others have named. Nodes that have not confirmed records lately are passed over. While this node `is_starting` it doesn't take itself for the
    /// writer.
    pub fn writer(
        &self,
        shard: Shard,
        own: u64,
        others: impl IntoIterator<Item = (u64, T)>,
        is_starting: bool,
        now: Timestamp,
    ) -> Writer<T> {
        let others = others.into_iter().chain(self.named(shard, own, now));
        let others = others.map(|(name_hash, node)| (name_hash, Some(node)));
        // A node may be known and named.
        let mut first = first_of_shard(shard, others.chain([(own, None)]), 2 * CANDIDATES);
        first.dedup();
        let mut candidates = first.into_iter().take(CANDIDATES);
        let is_heard = |node: &Option<T>| node.is_none_or(|node| !self.is_silent(node, now));
        match candidates.find(is_heard).flatten() {
            Some(node) => Writer::Other(node),
            None if is_starting => Writer::Undecided,
            None => Writer::Own,
        }
    }

    /// Keeps a record until `receiver` has confirmed it, or for a time where there is none yet. Returns whether there was
    /// room for it.
    pub fn begin(
        &mut self,
        stream: StreamId,
        entry: Entry,
        receiver: Option<T>,
        now: Timestamp,
    ) -> bool {
        if self.waiting.len() >= MAX_WAITING && !self.waiting.contains_key(&stream) {
            return false;
        }
        let handover = Handover {
            entry,
            receiver,
            begun_at: now,
        };
        self.waiting.insert(stream, handover);
        true
    }

    /// Handles that `receiver` has taken these records.
    pub fn confirm(&mut self, receiver: T, streams: &[StreamId], now: Timestamp) {
        self.missed_at.remove(&receiver);
        self.confirmed_at.insert(receiver, now);
        for stream in streams {
            self.waiting.remove(stream);
        }
    }

    /// Removes the records that were not confirmed in time, for a writer to be chosen again. A node that has confirmed
    /// none since is passed over for a while.
    pub fn take_overdue(&mut self, now: Timestamp) -> Vec<(StreamId, Entry)> {
        self.missed_at.retain(|_, at| now.since(*at) < SILENCE_TIME);
        self.confirmed_at
            .retain(|_, at| now.since(*at) < SILENCE_TIME);
        let overdue = self.waiting.extract_if(.., |_, handover| {
            now.since(handover.begun_at) >= CONFIRMATION_TIMEOUT
        });
        let mut records = Vec::new();
        for (stream, handover) in overdue {
            if let Some(receiver) = handover.receiver {
                let confirmed_at = self.confirmed_at.get(&receiver);
                if confirmed_at.is_none_or(|at| *at <= handover.begun_at) {
                    self.missed_at.insert(receiver, now);
                }
            }
            records.push((stream, handover.entry));
        }
        records
    }

    /// Number of records that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no record waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a node has not confirmed records lately.
    pub fn is_silent(&self, node: T, now: Timestamp) -> bool {
        let missed_at = self.missed_at.get(&node);
        missed_at.is_some_and(|at| now.since(*at) < SILENCE_TIME)
    }
}
