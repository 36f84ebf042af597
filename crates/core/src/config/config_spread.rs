//! Spreads the configuration between nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::control::{Outbox, PeerMessage};
use crate::identity::ConfigVersion;
use crate::timestamp::Timestamp;

use super::{Appended, ConfigMessage, ConfigReplica, LogEntry, PendingPull, ReplicaEntry};

/// Spreads the configuration between nodes: a node with news tells a few others its version, and
/// each that is behind pulls what it lacks from one of them, so each entry crosses to each node
/// about once. Versions carried by every probe mend what is lost.
#[derive(Debug, Default)]
pub struct ConfigSpread {
    announced: ConfigVersion,
    announced_at: Timestamp,
    pull: Option<PendingPull>,
    newer: BTreeMap<SocketAddr, ConfigVersion>,
    first_heard_at: Option<Timestamp>,
    asked_at: Option<Timestamp>,
    known_empty: bool,
}

impl ConfigSpread {
    /// Time in which a node announces at most once; a burst of changes shares announcements.
    const ANNOUNCE_EVERY: Duration = Duration::from_millis(250);
    const PULL_TIMEOUT: Duration = Duration::from_millis(500);
    /// The same for a node without configuration, which cannot serve until it has one.
    const FIRST_PULL_TIMEOUT: Duration = Duration::from_millis(200);
    /// Time between questions of a node without configuration.
    const ASK_EVERY: Duration = Duration::from_millis(200);
    /// The same once it is known that there is none.
    const ASK_AGAIN: Duration = Duration::from_secs(10);
    /// How many peers a node without configuration asks at once.
    pub const ASKED_PEERS: usize = 5;
    /// A node without configuration takes the highest of so many versions…
    const ENOUGH_HEADS: usize = 3;
    /// …or of those that it has heard so long after the first.
    const HEADS_WINDOW: Duration = Duration::from_millis(150);
    const MAX_SOURCES: usize = 8;
    /// Entries that fit in a datagram beside the frame.
    const DATAGRAM_ENTRIES_LENGTH: usize = 1_200;
    /// Entries in one message over a stream.
    const STREAM_ENTRIES_LENGTH: usize = 1_000_000;

    /// Whether there is news that was not announced, and an announcement is due.
    pub fn should_announce(&self, replica: &ConfigReplica, now: Timestamp) -> bool {
        let is_due = now.since(self.announced_at) >= Self::ANNOUNCE_EVERY;
        replica.version() > self.announced && is_due
    }

    /// Announces the version in force.
    pub fn announce(
        &mut self,
        targets: &[SocketAddr],
        replica: &ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.announced = replica.version();
        self.announced_at = now;
        for target in targets {
            send(*target, ConfigMessage::Head(replica.version()), outbox);
        }
    }

    /// Whether it is known that there is no configuration yet.
    pub fn is_known_empty(&self) -> bool {
        self.known_empty
    }

    /// The object API has shown that there is no configuration yet.
    pub fn know_empty(&mut self) {
        self.known_empty = true;
    }

    /// Whether this node, which has no configuration, should ask peers now.
    pub fn should_ask(&mut self, replica: &ConfigReplica, now: Timestamp) -> bool {
        let pause = if self.known_empty {
            Self::ASK_AGAIN
        } else {
            Self::ASK_EVERY
        };
        let is_due = self.asked_at.is_none_or(|at| now.since(at) >= pause);
        let should_ask = replica.version() == ConfigVersion::default() && is_due;
        if should_ask {
            self.asked_at = Some(now);
        }
        should_ask
    }

    /// Asks peers for their versions.
    pub fn ask(&self, targets: &[SocketAddr], outbox: &mut Outbox) {
        for target in targets {
            send(*target, ConfigMessage::Ask, outbox);
        }
    }

    /// Takes a peer's message.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: ConfigMessage,
        replica: &mut ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        match message {
            ConfigMessage::Head(version) => {
                self.hear_version(from, version, replica, now, outbox);
                if version < replica.version() {
                    send(from, ConfigMessage::Head(replica.version()), outbox);
                }
            }
            ConfigMessage::Ask => self.answer(from, replica, outbox),
            ConfigMessage::None => self.known_empty = true,
            ConfigMessage::Pull(after) => serve(from, after, replica, outbox),
            ConfigMessage::Entries(entries) => {
                let gap = append_entries(&entries, replica);
                self.finish_pull(from);
                if !gap {
                    self.pull_next(replica, now, outbox);
                }
            }
            ConfigMessage::Snapshot(checkpoint) => {
                replica.adopt(&checkpoint);
                self.finish_pull(from);
                self.pull_next(replica, now, outbox);
            }
        }
    }

    /// Takes a peer's version, as any probe carries it.
    pub fn hear_version(
        &mut self,
        from: SocketAddr,
        version: ConfigVersion,
        replica: &ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if version <= replica.version() {
            return;
        }
        let has_room = self.newer.len() < Self::MAX_SOURCES || self.newer.contains_key(&from);
        if has_room {
            self.newer.insert(from, version);
        }
        self.first_heard_at.get_or_insert(now);
        self.pull_next(replica, now, outbox);
    }

    /// Lets time pass.
    pub fn tick(&mut self, replica: &ConfigReplica, now: Timestamp, outbox: &mut Outbox) {
        let Some(pull) = &self.pull else {
            self.pull_next(replica, now, outbox);
            return;
        };
        let timeout = if replica.version() == ConfigVersion::default() {
            Self::FIRST_PULL_TIMEOUT
        } else {
            Self::PULL_TIMEOUT
        };
        if now.since(pull.asked_at) >= timeout {
            self.newer.remove(&pull.from);
            self.pull = None;
            self.pull_next(replica, now, outbox);
        }
    }

    /// A peer could not be reached over a stream.
    pub fn unreachable(&mut self, peer: SocketAddr) {
        self.newer.remove(&peer);
        self.finish_pull(peer);
    }

    fn answer(&self, to: SocketAddr, replica: &ConfigReplica, outbox: &mut Outbox) {
        let version = replica.version();
        if version > ConfigVersion::default() {
            send(to, ConfigMessage::Head(version), outbox);
        } else if self.known_empty {
            send(to, ConfigMessage::None, outbox);
        }
    }

    fn finish_pull(&mut self, from: SocketAddr) {
        if self.pull.as_ref().is_some_and(|pull| pull.from == from) {
            self.pull = None;
        }
    }

    /// A node without configuration hears several peers before it takes the highest version: one
    /// of them may have been cut off from the others.
    fn should_hear_more(&self, replica: &ConfigReplica, now: Timestamp) -> bool {
        let is_new = replica.version() == ConfigVersion::default();
        let is_early = self
            .first_heard_at
            .is_none_or(|at| now.since(at) < Self::HEADS_WINDOW);
        is_new && is_early && self.newer.len() < Self::ENOUGH_HEADS
    }

    /// Pulls from the peer with the highest version, one pull at a time.
    fn pull_next(&mut self, replica: &ConfigReplica, now: Timestamp, outbox: &mut Outbox) {
        self.newer.retain(|_, version| *version > replica.version());
        if self.pull.is_some() || self.should_hear_more(replica, now) {
            return;
        }
        let highest = self.newer.iter().max_by_key(|(_, version)| **version);
        let Some((from, _)) = highest else {
            return;
        };
        let from = *from;
        send(from, ConfigMessage::Pull(replica.version()), outbox);
        self.pull = Some(PendingPull {
            from,
            asked_at: now,
        });
    }
}

fn append_entries(entries: &[Arc<LogEntry>], replica: &mut ConfigReplica) -> bool {
    entries
        .iter()
        .any(|entry| replica.append(entry) == Appended::Gap)
}

fn serve(to: SocketAddr, after: ConfigVersion, replica: &ConfigReplica, outbox: &mut Outbox) {
    if after >= replica.version() {
        return;
    }
    let Some(kept) = replica.entries_after(after) else {
        let checkpoint = Arc::new(replica.checkpoint());
        stream(to, ConfigMessage::Snapshot(checkpoint), outbox);
        return;
    };
    let total: usize = kept.iter().map(|entry| entry.encoded_length + 1).sum();
    if total <= ConfigSpread::DATAGRAM_ENTRIES_LENGTH {
        send(to, entries_message(&kept, total), outbox);
    } else {
        let limit = ConfigSpread::STREAM_ENTRIES_LENGTH;
        stream(to, entries_message(&kept, limit), outbox);
    }
}

/// As many entries as `limit` bytes hold, and at least one.
fn entries_message(kept: &[&ReplicaEntry], limit: usize) -> ConfigMessage {
    let mut length = 0;
    let entries = kept
        .iter()
        .take_while(|entry| {
            let is_first = length == 0;
            length += entry.encoded_length + 1;
            is_first || length <= limit
        })
        .map(|entry| Arc::clone(&entry.entry))
        .collect();
    ConfigMessage::Entries(entries)
}

fn send(to: SocketAddr, message: ConfigMessage, outbox: &mut Outbox) {
    outbox.datagram(to, PeerMessage::Config(message));
}

fn stream(to: SocketAddr, message: ConfigMessage, outbox: &mut Outbox) {
    outbox.stream(to, PeerMessage::Config(message));
}
