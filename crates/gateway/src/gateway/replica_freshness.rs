//! Nodes of a small deployment confirm to each other that their replicas are current.
//!
//! Each of them watches the source for itself, but a watch whose connection has fallen silent
//! reports nothing and ends late. The nodes therefore share the work of asking the source regularly
//! whether anything has changed, and report the result to each other; see docs/design/reading.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::info;

use super::{Gateway, GatewayState};
use crate::peers::{PeerMessage, ReplicaFreshness};
use crate::source::{ItemKind, SourceError};

/// Kinds whose replicas are confirmed in this way; the configuration has a check of its own.
const CHECKED_KINDS: [ItemKind; 2] = [ItemKind::Engines, ItemKind::Weights];
/// The first node, see `is_first_checker`, asks when its confirmation is older than this share of
/// the propagation limit. Including the time to ask and to report to the others, a change that a
/// watch has missed is known to all nodes within three quarters of that limit.
const FIRST_CHECK_SHARE: f64 = 0.35;
/// The other nodes ask in its place when their confirmation is older than this share, which leaves
/// the first node time to ask and to report.
const BACKUP_CHECK_SHARE: f64 = 0.55;
/// Weights are checked this much less often: replaced weights may be used for much longer than
/// engines that leave, and the time of a publication is counted from the last confirmation.
const WEIGHTS_INTERVAL_FACTOR: f64 = 2.0;

impl Gateway {
    /// Whether the source should be asked to confirm that the replica is current.
    pub(crate) fn needs_freshness_check(&self, kind: ItemKind) -> bool {
        let now = self.clock().now();
        let state = self.state();
        if state.peers.is_large() {
            // In a large deployment nodes ask each other, and the watches of readers are short.
            return false;
        }
        let replica = state.replicas.of(kind);
        if replica.revision.is_none() {
            // The initial list is read elsewhere.
            return false;
        }
        let interval = self.check_interval(&state, kind, now);
        let as_of = replica.freshness.confirmed_at().max(replica.read_at);
        replica.is_behind() || as_of.is_none_or(|at| now.since(at) >= interval)
    }

    /// Handles a failed check; `failures` is the number of consecutive ones.
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

    /// Handles a failed check of the configuration. Only a lost history matters here, since the
    /// configuration's watch reports disruptions itself.
    pub(crate) fn note_configuration_check_failed(&self, error: &SourceError) {
        if *error == SourceError::HistoryGone {
            self.note_history_lost(ItemKind::Configuration);
        }
    }

    /// Records that the source no longer holds the changes since the replica's revision, so that
    /// the watch can't continue either and the list must be read again.
    fn note_history_lost(&self, kind: ItemKind) {
        info!(self.log(), "copy_history_lost"; "kind" => %kind);
        self.state_mut().replicas.of_mut(kind).is_history_lost = true;
    }

    fn check_interval(&self, state: &GatewayState, kind: ItemKind, now: Timestamp) -> Duration {
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

    /// Whether this node comes before all other ready nodes: those that reach the source come
    /// first, then names decide.
    fn is_first_checker(&self, state: &GatewayState, now: Timestamp) -> bool {
        let own = &self.settings().identity.name;
        let rank = |reaches_source: bool, name| (!reaches_source, name);
        let own_rank = rank(state.is_source_reachable, own);
        let mut others = state.peers.ready(now);
        others.all(|peer| own_rank < rank(peer.reaches_store, &peer.identity.name))
    }

    /// How recently this node's replicas were confirmed, for other nodes.
    pub(super) fn replica_freshness(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<ReplicaFreshness> {
        if state.peers.is_large() {
            return Vec::new();
        }
        let freshness = |kind| {
            let replica = state.replicas.of(kind);
            Some(ReplicaFreshness {
                kind,
                changed_until: state.revision_to_tell(replica.changed_until)?,
                age_ms: replica.freshness.age(now)?.as_millis() as u64 + 1,
            })
        };
        CHECKED_KINDS.into_iter().filter_map(freshness).collect()
    }

    /// Applies what another node reports of its replicas, which either confirms this node's
    /// replicas as well or shows that they lack a change.
    pub(super) fn apply_replica_freshness(&self, state: &mut GatewayState, message: &PeerMessage) {
        let now = self.clock().now();
        let sent_at = self.echoed_message_sent_at(state, message);
        for reported in &message.copies {
            let Some(changed_until) = state.told_revision(reported.changed_until, message.era)
            else {
                continue;
            };
            let replica = state.replicas.of_mut(reported.kind);
            let was_behind = replica.is_behind();
            let is_behind = !replica.note_reported_change(changed_until, now);
            if replica.revision < Some(changed_until) {
                if is_behind && !was_behind {
                    let known = replica.revision.map(|revision| revision.to_string());
                    info!(self.log(), "copy_behind"; "kind" => %reported.kind,
                        "revision" => known, "changed_until" => %changed_until,
                        "peer" => %message.from.name);
                }
                state.note_peer_ahead(&message.from, now);
            } else if let Some(sent_at) = sent_at {
                let age = Duration::from_millis(reported.age_ms);
                replica.confirm(sent_at.before(age));
            }
        }
    }
}
