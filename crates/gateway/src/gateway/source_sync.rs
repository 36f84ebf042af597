//! Determines which nodes read the source, and synchronises the others from them; see
//! docs/design/reading.md.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;
use slog::{debug, info};

use super::source_log::Proof;
use super::{Freshness, Gateway, GatewayState, PEER_DISCOVERY_TIME};
use crate::engines::{Engine, EngineEntry};
use crate::peers::NodeIdentity;
use crate::source::{ItemBatch, ItemKind, Revision};
use crate::sync::{Answer, Changes, EngineChange, Mark, Question};

/// Maximum number of changes of the engine list in one answer, as entries of some 200 bytes each.
const MAX_CHANGES: usize = 40;
/// Maximum number of changes in one answer where they are grouped, at some 50 bytes each, which
/// fills a datagram. Where more engines change at once, the whole list is transferred.
const MAX_GROUPED_CHANGES: usize = 1_000;
/// In a small deployment each node watches the source itself, and changes reach all nodes within
/// milliseconds. A node to which another one has reported a change waits this long for its own
/// watch, then asks the reporting node. If the source answers one of seven nodes 1.6 s late, that
/// node learns of the second of two consecutive changes in under 2 s; without asking it took 2.9 s
/// (virtual clock, maximum of four runs).
const OWN_WATCH_TIMEOUT: Duration = Duration::from_millis(100);
/// In a large deployment a replica counts as late when it is older than this share of the
/// propagation limit: two watches, three questions and their answers together take less. A reader
/// with a late replica asks another node. A reader among twelve nodes, answered 3 s late by the
/// source, thereby learned of changes in under 2 s; without asking it still lacked two consecutive
/// changes after 20 s (virtual clock, maximum of four runs).
const LATE_REPLICA_SHARE: f64 = 0.5;
/// Minimum lead of another node's confirmation over this node's to justify a question.
const MIN_FRESHNESS_LEAD: Duration = Duration::from_millis(200);
/// The source answers within milliseconds, or some hundred when it is slow. A node that has had no
/// answer for this time uses what other nodes have. It then starts within 2 s where the source
/// answers all other nodes; without this it did not start within 20 s (virtual clock, 2 to 12
/// nodes).
pub(super) const SOURCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of engines of a list in an answer; a longer one would exceed a datagram.
const MAX_LISTED_ENGINES: usize = 128;
/// A reader whose replicas are older than this share of the propagation limit is not asked again
/// soon.
const STALE_READER_SHARE: f64 = 0.65;

/// How a node keeps up with the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Watches the source for itself, as every node of a small deployment does.
    Watcher,
    /// Watches the source on behalf of the nodes that follow it.
    Reader,
    /// Asks another node, and the source only when that does not help.
    Follower,
}

impl Gateway {
    /// How this node keeps up with the source now.
    pub fn role(&self) -> Role {
        let now = self.clock().now();
        let state = self.state();
        if !state.peers.is_large() {
            return Role::Watcher;
        }
        let is_new = self.uptime() < PEER_DISCOVERY_TIME && !state.peers.is_settled();
        let has_parent = is_new || self.parent(&state, now).is_some();
        // Nodes that ask this one although it is not the reader of its zone may have found the
        // reader silent or outdated, so this node must not depend on it either.
        let is_substitute_reader =
            state.sync.is_relied_on(now) && self.reader(&state, now).is_some();
        match has_parent && !is_substitute_reader && !state.is_order_candidate {
            true => Role::Follower,
            false => Role::Reader,
        }
    }

    /// Whether this node is the reader of its zone in a large deployment.
    pub fn is_zone_reader(&self) -> bool {
        let now = self.clock().now();
        let state = self.state();
        state.peers.is_large() && self.reader(&state, now).is_none()
    }

    /// Whether this node sends questions twice as often as others. The reader of a zone does; so do
    /// nodes of a small deployment, which ask only while they are behind, and nodes of a wide zone,
    /// where answers have passed through one more node.
    pub fn asks_often(&self) -> bool {
        let is_small_or_wide = {
            let state = self.state();
            !state.peers.is_large() || state.peers.is_wide()
        };
        is_small_or_wide || self.is_zone_reader()
    }

    /// The next question and its receiver; `None` while this node follows no other.
    pub fn next_question(&self) -> Option<(SocketAddr, Question)> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if let Some(silent) = state.sync.give_up_silent(now) {
            info!(self.log(), "reader_silent"; "reader" => %silent);
        }
        let (reader, address) = self.sync_target(&state, now)?;
        let number = state.sync.ask(reader, now);
        let revision = |kind| state.revision_to_tell(state.replicas.of(kind).revision);
        let question = Question {
            number,
            engines: revision(ItemKind::Engines),
            weights: revision(ItemKind::Weights),
            era: state.era_to_tell(),
            wants_list: self.wants_list(&state, now),
            reads_groups: true,
        };
        Some((address, question))
    }

    /// The node that this one catches up with. In a large deployment that is its parent; nodes of a
    /// small deployment, and nodes without a parent, ask one that is known to be ahead.
    fn sync_target(&self, state: &GatewayState, now: Timestamp) -> Option<(NodeName, SocketAddr)> {
        let ahead = match self.is_lagging(state, now) {
            true => state.peer_ahead.as_ref(),
            false => None,
        };
        let ahead = ahead.filter(|node| state.sync.may_ask(&node.name, now));
        let ahead = ahead.map(|node| (node.name.clone(), node.address));
        match state.peers.is_large() {
            true => self.parent(state, now).or(ahead),
            false => ahead,
        }
    }

    /// Whether this node receives changes from the source later than others. In a small deployment,
    /// where nodes confirm each other's replicas, it does if another node has had a newer replica
    /// for `OWN_WATCH_TIMEOUT`. In a large one it does if its engine list has not been confirmed
    /// within the time that readers normally need.
    fn is_lagging(&self, state: &GatewayState, now: Timestamp) -> bool {
        if self.wants_list(state, now) {
            return true;
        }
        if !state.peers.is_large() {
            let kinds = [ItemKind::Engines, ItemKind::Weights];
            let mut replicas = kinds.iter().map(|kind| state.replicas.of(*kind));
            return replicas.any(|replica| replica.is_behind_for(OWN_WATCH_TIMEOUT, now));
        }
        let replica = state.replicas.of(ItemKind::Engines);
        let as_of = replica.freshness.confirmed_at().max(replica.read_at);
        as_of.is_some_and(|at| now.since(at) >= self.late_replica_age())
    }

    /// Age from which a replica counts as late.
    pub(super) fn late_replica_age(&self) -> Duration {
        self.settings()
            .propagation_limit
            .mul_f64(LATE_REPLICA_SHARE)
    }

    /// In a large deployment, lets a node whose own replica is late ask another one whose replica
    /// was confirmed more recently. Nodes that are not late ignore such reports.
    pub(super) fn note_fresher_peer(
        &self,
        state: &mut GatewayState,
        node: &NodeIdentity,
        confirmed_at: Timestamp,
        now: Timestamp,
    ) {
        let replica = state.replicas.of(ItemKind::Engines);
        let own = replica.freshness.confirmed_at().max(replica.read_at);
        let is_newer = own.is_none_or(|own| own.after(MIN_FRESHNESS_LEAD) < confirmed_at);
        if is_newer && state.peers.is_large() && self.is_lagging(state, now) {
            state.note_peer_ahead(node, now);
        }
    }

    /// Answers another node's question.
    pub fn answer_question(&self, question: &Question) -> Answer {
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.sync.note_asked(now);
        let version = state.table.as_ref().map(|table| table.version());
        let max = match question.reads_groups {
            true => MAX_GROUPED_CHANGES,
            false => MAX_CHANGES,
        };
        let told = |number: Option<u64>| state.told_revision(number?, question.era);
        let (engines, weights) = (told(question.engines), told(question.weights));
        let catch_up = engines.and_then(|engines| self.catch_up(&state, engines, max));
        let revision = catch_up.as_ref().map(|(revision, _)| revision.number);
        let is_list_wanted = question.wants_list && catch_up.is_none();
        let has_new_weights = state.replicas.of(ItemKind::Weights).revision > weights;
        let weights = self.knows_weights_after(&state, weights);
        let weights = weights.then(|| replica_mark(&state, ItemKind::Weights, now));
        Answer {
            number: question.number,
            configuration: mark(version, state.freshness(), now),
            engines: replica_mark(&state, ItemKind::Engines, now),
            weights: weights.flatten(),
            trouble_age_ms: state
                .engine_list_disrupted_at
                .map(|at| now.since(at).as_millis() as u64),
            list: match is_list_wanted {
                true => complete_list(&state),
                false => Vec::new(),
            },
            unusable: match is_list_wanted {
                true => state.unusable_entries.iter().cloned().collect(),
                false => Vec::new(),
            },
            groups: match (&catch_up, question.reads_groups) {
                (Some((_, changes)), true) => Some(Changes::of(changes)),
                _ => None,
            },
            changes: match question.reads_groups {
                true => Vec::new(),
                false => catch_up.map_or_else(Vec::new, |(_, changes)| changes),
            },
            revision,
            era: state.era_to_tell(),
            named: match has_new_weights {
                true => self.publications(&state, Duration::MAX),
                false => Vec::new(),
            },
        }
    }

    /// Whether this node has seen the publication of every version after `revision`. It can only
    /// assume the age of versions that were published before it started, and must not report
    /// assumed ages to other nodes.
    fn knows_weights_after(&self, state: &GatewayState, revision: Option<Revision>) -> bool {
        let seen_after = state.weights_seen_after;
        seen_after.is_some() && revision >= seen_after
    }

    /// Changes of the engine list since the revision that the asking node has, and the revision
    /// that they lead to; `None` if the change log does not reach back that far or the next changes
    /// exceed `max`.
    fn catch_up(
        &self,
        state: &GatewayState,
        known: Revision,
        max: usize,
    ) -> Option<(Revision, Vec<EngineChange>)> {
        let newest = state.replicas.of(ItemKind::Engines).revision?;
        let caught_up = state.engine_log.after(known, newest, max)?;
        let changes = caught_up.changes.into_iter();
        let changes = changes.filter_map(EngineChange::of).collect();
        Some((caught_up.revision, changes))
    }

    /// Whether the source has not delivered the engine list, or known changes of it, for longer
    /// than it normally takes.
    pub(super) fn wants_list(&self, state: &GatewayState, now: Timestamp) -> bool {
        let replica = state.replicas.of(ItemKind::Engines);
        match replica.revision {
            None => self.uptime() >= SOURCE_TIMEOUT,
            Some(_) => replica.is_behind_for(SOURCE_TIMEOUT, now),
        }
    }

    /// Applies a reader's answer. Returns whether it contained only part of what this node lacks,
    /// so that the rest should be asked for at once. While many engines start, more changes arrive
    /// between two questions than one answer holds. A replica that is never complete is never
    /// confirmed, and without this each node then asked the source.
    pub fn apply_answer(&self, answer: Answer) -> bool {
        let Some((reader, asked_at)) = self.state_mut().sync.close(answer.number) else {
            return false;
        };
        let before = self.state().replicas.of(ItemKind::Engines).revision;
        let told = |mark: Mark| self.state().told_revision(mark.position, answer.era);
        let (engines, weights) = (answer.engines.and_then(told), answer.weights.and_then(told));
        if let Some((mark, revision)) = answer.engines.zip(engines) {
            self.apply_engines(&answer, mark, revision, asked_at);
        }
        if let Some((mark, revision)) = answer.weights.zip(weights) {
            self.apply_weights(&answer, mark, revision, asked_at);
        }
        self.apply_configuration(&answer, &reader, asked_at);
        self.avoid_stale_reader(&reader, &answer);
        self.update_readiness();
        let after = self.state().replicas.of(ItemKind::Engines).revision;
        before < after && after < engines
    }

    /// Applies what the answer tells of the engines. `told` is the revision of the other node's list.
    fn apply_engines(&self, answer: &Answer, mark: Mark, told: Revision, asked_at: Timestamp) {
        if let Some(age_ms) = answer.trouble_age_ms {
            let at = asked_at.before(Duration::from_millis(age_ms));
            let mut state = self.state_mut();
            state.engine_list_disrupted_at = state.engine_list_disrupted_at.max(Some(at));
        }
        let is_newer = self.state().replicas.of(ItemKind::Engines).revision < Some(told);
        if !answer.list.is_empty() && is_newer {
            info!(self.log(), "engine_list_handed_over"; "revision" => %told,
                "engines" => answer.list.len());
            self.apply_peer_list(&answer.list, &answer.unusable, told);
        } else if answer.revision.is_none() {
            let now = self.clock().now();
            let mut state = self.state_mut();
            let replica = state.replicas.of_mut(ItemKind::Engines);
            // A node without a list has nothing yet that could be behind.
            if replica.revision.is_some() && replica.revision < Some(told) {
                replica.note_behind(now);
            }
        }
        if let Some(number) = answer.revision {
            let revision = Revision::new(told.era, number);
            let grouped = answer.groups.iter().flat_map(Changes::changes);
            let changes = answer.changes.iter().cloned().chain(grouped);
            let changes = changes.map(Into::into).collect();
            // What it confirms is in the mark.
            let batch = ItemBatch {
                changes,
                revision,
                is_whole: false,
            };
            self.apply_batch(ItemKind::Engines, batch, None);
        }
        self.apply_mark(ItemKind::Engines, mark, told, asked_at);
    }

    fn apply_weights(&self, answer: &Answer, mark: Mark, told: Revision, asked_at: Timestamp) {
        self.apply_publications(&answer.named);
        let now = self.clock().now();
        let mut state = self.state_mut();
        let replica = state.replicas.of_mut(ItemKind::Weights);
        if replica.revision.is_some() {
            let revision = replica.revision.max(Some(told));
            replica.advance(revision.unwrap_or(told), now);
            // It is not known whether the reported versions are the only changes.
            replica.changed_until = replica.changed_until.max(Some(told));
        }
        drop(state);
        self.apply_mark(ItemKind::Weights, mark, told, asked_at);
    }

    fn apply_configuration(&self, answer: &Answer, reader: &NodeName, asked_at: Timestamp) {
        let Some(mark) = answer.configuration else {
            return;
        };
        let now = self.clock().now();
        let mut state = self.state_mut();
        let own = state.table.as_ref().map(|table| table.version());
        if own < Some(mark.position) {
            let replica = state.replicas.of_mut(ItemKind::Configuration);
            replica.note_behind(now);
            self.note_reader_ahead(&mut state, reader, mark.position);
            return;
        }
        let as_of = confirmed_time(asked_at, mark);
        self.log_proof(&state, Proof::of_node(reader, as_of));
        let replica = state.replicas.of_mut(ItemKind::Configuration);
        replica.confirm(as_of);
    }

    /// Confirms the replica as of the time when the reader's was confirmed, provided it has the
    /// same changes.
    fn apply_mark(&self, kind: ItemKind, mark: Mark, told: Revision, asked_at: Timestamp) {
        let mut state = self.state_mut();
        let replica = state.replicas.of_mut(kind);
        if replica.revision >= Some(told) {
            replica.confirm(confirmed_time(asked_at, mark));
            replica.note_current();
        } else if kind == ItemKind::Engines {
            let known = replica.revision.map(|revision| revision.to_string());
            debug!(self.log(), "engine_list_behind"; "revision" => known, "reader" => %told);
        }
    }

    /// Avoids a reader for a while if it has nothing recent itself. A reader that has nothing at
    /// all is tolerated as long as this node has nothing either: where all nodes start before there
    /// is a configuration, each would otherwise reject every reader and read the source for itself.
    fn avoid_stale_reader(&self, reader: &NodeName, answer: &Answer) {
        let now = self.clock().now();
        let limit = self
            .settings()
            .propagation_limit
            .mul_f64(STALE_READER_SHARE);
        let mut state = self.state_mut();
        let marks = [
            (answer.configuration, ItemKind::Configuration),
            (answer.engines, ItemKind::Engines),
        ];
        let is_stale = marks.into_iter().any(|(mark, kind)| match mark {
            Some(mark) => Duration::from_millis(mark.age_ms) >= limit,
            None if kind == ItemKind::Configuration => state.table.is_some(),
            None => state.replicas.of(kind).freshness.confirmed_at().is_some(),
        });
        if is_stale {
            state.sync.avoid(reader.clone(), now);
            info!(self.log(), "reader_stale"; "reader" => %reader);
        }
    }
}

/// The engine list, if it is complete and fits a datagram; otherwise empty.
fn complete_list(state: &GatewayState) -> Vec<EngineEntry> {
    let is_listed = |engine: &&Engine| !engine.is_unlisted;
    let listed = state.engines.iter().filter(is_listed);
    let entries: Vec<_> = listed.map(|engine| engine.entry.clone()).collect();
    match state.has_engine_list && entries.len() <= MAX_LISTED_ENGINES {
        true => entries,
        false => Vec::new(),
    }
}

fn confirmed_time(asked_at: Timestamp, mark: Mark) -> Timestamp {
    asked_at.before(Duration::from_millis(mark.age_ms))
}

fn replica_mark(state: &GatewayState, kind: ItemKind, now: Timestamp) -> Option<Mark> {
    let replica = state.replicas.of(kind);
    mark(
        state.revision_to_tell(replica.revision),
        replica.freshness,
        now,
    )
}

fn mark(position: Option<u64>, freshness: Freshness, now: Timestamp) -> Option<Mark> {
    Some(Mark {
        position: position?,
        age_ms: freshness.age(now)?.as_millis() as u64 + 1,
    })
}
