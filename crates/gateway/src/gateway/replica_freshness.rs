//! How nodes of a small deployment prove to each other that their copies are current.
//!
//! Each of them watches the source for itself, and a watch whose connection has fallen silent tells
//! nothing and ends late. So the nodes together ask the source every now and then whether anything
//! has changed, and tell each other; see docs/design/reading.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::info;

use super::{Gateway, GatewayState};
use crate::peers::{PeerMessage, ReplicaFreshness};
use crate::source::{ItemKind, SourceError};

/// Kinds whose copies are proven in this way; the configuration has proofs of its own.
const CHECKED_KINDS: [ItemKind; 2] = [ItemKind::Engines, ItemKind::Weights];
/// The node that comes first asks when its proof is older than this share of the time within which
/// changes must be in force. With the time to ask and to tell the others, what a watch has missed
/// is known everywhere within three quarters of that time.
const FIRST_CHECK_SHARE: f64 = 0.35;
/// The others ask in its place when they have had no proof for longer than it and its answer take.
const BACKUP_CHECK_SHARE: f64 = 0.55;
/// Replaced weights may be used for much longer than engines that leave, and the time at which they
/// were named is counted from the last proof, so these are proven this much less often.
const WEIGHTS_INTERVAL_FACTOR: f64 = 2.0;

impl Gateway {
    /// Whether the source should be asked for a proof that the copy is current.
    pub(crate) fn needs_freshness_check(&self, kind: ItemKind) -> bool {
        let now = self.clock().now();
        let state = self.state();
        if state.peers.is_large() {
            // There nodes ask each other, and readers watch for short times only.
            return false;
        }
        let replica = state.replicas.of(kind);
        if replica.revision.is_none() {
            // The first list is read elsewhere.
            return false;
        }
        let interval = self.freshness_check_interval(&state, kind, now);
        let known_at = replica.freshness.confirmed_at().max(replica.read_at);
        replica.is_behind() || known_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// A question for a proof failed, so many in a row.
    pub(crate) fn note_freshness_check_failed(
        &self,
        kind: ItemKind,
        error: &SourceError,
        failures: u32,
    ) {
        match error {
            SourceError::HistoryGone => self.note_history_lost(kind),
            error => self.note_source_failure(kind, error, failures),
        }
    }

    /// The same for the configuration, whose watch tells of trouble by itself.
    pub(crate) fn note_configuration_check_failed(&self, error: &SourceError) {
        if *error == SourceError::HistoryGone {
            self.note_history_lost(ItemKind::Configuration);
        }
    }

    /// The source has forgotten the changes since the copy: the watch can't go on either, and the list
    /// is read again.
    fn note_history_lost(&self, kind: ItemKind) {
        info!(self.log(), "copy_history_lost"; "kind" => %kind);
        self.state_mut().replicas.of_mut(kind).is_history_lost = true;
    }

    fn freshness_check_interval(
        &self,
        state: &GatewayState,
        kind: ItemKind,
        now: Timestamp,
    ) -> Duration {
        let share = match self.is_first_checker(state, now) {
            true => FIRST_CHECK_SHARE,
            false => BACKUP_CHECK_SHARE,
        };
        let factor = match kind {
            ItemKind::Weights => WEIGHTS_INTERVAL_FACTOR,
            ItemKind::Configuration | ItemKind::Engines => 1.0,
        };
        self.settings().propagation_limit.mul_f64(share * factor)
    }

    /// Whether this node comes before all others that serve: those that reach the source first,
    /// then by name.
    fn is_first_checker(&self, state: &GatewayState, now: Timestamp) -> bool {
        let own = &self.settings().identity.name;
        let rank = |reaches_source: bool, name| (!reaches_source, name);
        let own_rank = rank(state.is_source_reachable, own);
        let mut others = state.peers.ready(now);
        others.all(|peer| own_rank < rank(peer.reaches_store, &peer.identity.name))
    }

    /// What this node can prove of its copies.
    pub(super) fn replica_freshness(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<ReplicaFreshness> {
        if state.peers.is_large() {
            return Vec::new();
        }
        let proof = |kind| {
            let replica = state.replicas.of(kind);
            Some(ReplicaFreshness {
                kind,
                changed_until: replica.changed_until?,
                age_ms: replica.freshness.age(now)?.as_millis() as u64 + 1,
            })
        };
        CHECKED_KINDS.into_iter().filter_map(proof).collect()
    }

    /// What another node says of its copies: it proves this node's as well, or shows that a change is
    /// missing there.
    pub(super) fn take_replica_freshness(&self, state: &mut GatewayState, message: &PeerMessage) {
        let now = self.clock().now();
        let sent_at = self.echoed_message_sent_at(state, message);
        for proof in &message.copies {
            let replica = state.replicas.of_mut(proof.kind);
            let was_behind = replica.is_behind();
            let is_behind = !replica.note_told(proof.changed_until, now);
            if replica.revision < Some(proof.changed_until) {
                if is_behind && !was_behind {
                    info!(self.log(), "copy_behind"; "kind" => %proof.kind,
                        "revision" => replica.revision, "changed_until" => proof.changed_until,
                        "peer" => %message.from.name);
                }
                state.note_peer_ahead(&message.from, now);
            } else if let Some(sent_at) = sent_at {
                let age = Duration::from_millis(proof.age_ms);
                replica.freshness.confirm(sent_at.before(age));
            }
        }
    }
}
