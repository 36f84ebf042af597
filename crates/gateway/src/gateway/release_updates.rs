//! Updates about releases that nodes send each other; see docs/design/releases.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::release::{Counts, Reporter};

use super::release_traffic::is_obsolete;
use super::{Gateway, GatewayState};
use crate::peers::{PeerMessage, ZoneUpdate};
use crate::release::{
    EvidenceUpdate, KnownRelease, Origin, ReleaseUpdate, order_key, zone_reporter,
};

/// How long every message carries the final grant of a release. Later only full updates do, since
/// by then it has reached every node that is not isolated.
const FINAL_GRANT_SEND_TIME: Duration = Duration::from_secs(10);

/// Maximum number of counts of a release in one message: about 10 KB of the 60 KB that a datagram
/// carries, since a longer datagram is not sent at all.
const MAX_CELLS_PER_MESSAGE: usize = 300;

impl Gateway {
    /// The newest grants, for other nodes; a full update also carries those that became final long
    /// ago.
    pub(super) fn release_updates(
        &self,
        state: &GatewayState,
        is_full_update: bool,
        now: Timestamp,
    ) -> Vec<ReleaseUpdate> {
        let is_due = |known: &&KnownRelease| {
            let is_recent =
                !known.is_final() || now.since(known.stage_since) < FINAL_GRANT_SEND_TIME;
            is_recent || is_full_update
        };
        let known = state.releases.iter().filter(is_due);
        let known = known.filter(|known| !is_obsolete(known, &state.engines));
        known.map(|known| updates_of(known, now)).collect()
    }

    /// Counts of responses that this node has seen, for other nodes.
    pub(super) fn evidence_updates(&self, state: &GatewayState) -> Vec<EvidenceUpdate> {
        let open = state.releases.iter().filter(|known| !known.is_final());
        let own = open.map(|known| evidence_of(known, known.evidence.own(), state.sequence));
        own.filter(|update| !update.1.is_empty()).collect()
    }

    /// Counts of responses that the nodes of this zone have seen, for the other zones.
    pub(super) fn evidence_of_zone(&self, state: &GatewayState) -> Vec<EvidenceUpdate> {
        let open = state.releases.iter().filter(|known| !known.is_final());
        let sums = open.map(|known| evidence_of(known, &known.total_of_zone(), state.sequence));
        sums.filter(|update| !update.1.is_empty()).collect()
    }

    /// Takes the grants that start another stage, which every node needs at once.
    pub(super) fn take_urgent_releases(
        &self,
        state: &mut GatewayState,
        now: Timestamp,
    ) -> Vec<ReleaseUpdate> {
        let pools = std::mem::take(&mut state.releases.urgent);
        let known = pools.iter().filter_map(|pool| state.releases.of(pool));
        known.map(|known| updates_of(known, now)).collect()
    }

    /// Applies what another node reports of releases.
    pub(super) fn apply_release_updates(&self, state: &mut GatewayState, message: &PeerMessage) {
        if self.settings().releases.is_none() {
            return;
        }
        self.apply_grants(state, &message.releases);
        // The same message carried all grants, so a pool without one has no order.
        if message.knows_orders && !state.releases.knows_orders {
            state.releases.knows_orders = true;
            self.orders_known.notify_waiters();
        }
        let is_near = message.from.zone == self.settings().identity.zone;
        let origin = match is_near {
            true => Origin::SameZone,
            false => Origin::OtherZone,
        };
        apply_evidence(state, &message.evidence, message.from.incarnation, origin);
    }

    /// Applies what another zone reports of releases.
    pub(super) fn apply_zone_release_updates(&self, state: &mut GatewayState, update: &ZoneUpdate) {
        if self.settings().releases.is_none() {
            return;
        }
        self.apply_grants(state, &update.releases);
        if update.zone != self.settings().identity.zone {
            let reporter = zone_reporter(&update.zone);
            apply_evidence(state, &update.evidence, reporter, Origin::ZoneTotal);
        }
    }

    fn apply_grants(&self, state: &mut GatewayState, releases: &[ReleaseUpdate]) {
        for update in releases {
            let age = Duration::from_millis(update.age_ms);
            self.apply_grant(state, update.grant.clone(), age);
        }
    }
}

/// Selects the counts to send. When there are too many for one message, each message carries
/// another part. Counts only rise, so later messages include what an earlier one left out.
fn evidence_of(known: &KnownRelease, counts: &Counts, rotation: u64) -> EvidenceUpdate {
    let cells = counts.iter().count();
    let parts = cells.div_ceil(MAX_CELLS_PER_MESSAGE).max(1);
    let part = rotation as usize % parts;
    let mut selected = Counts::default();
    for (cell, tally) in counts
        .iter()
        .skip(part * MAX_CELLS_PER_MESSAGE)
        .take(MAX_CELLS_PER_MESSAGE)
    {
        selected.add(cell, tally);
    }
    EvidenceUpdate(order_key(&known.grant.order), selected)
}

fn updates_of(known: &KnownRelease, now: Timestamp) -> ReleaseUpdate {
    ReleaseUpdate {
        grant: known.grant.clone(),
        age_ms: now.since(known.granted_at).as_millis() as u64,
    }
}

fn apply_evidence(
    state: &mut GatewayState,
    evidence: &[EvidenceUpdate],
    reporter: Reporter,
    origin: Origin,
) {
    for EvidenceUpdate(order, counts) in evidence {
        let mut known = state.releases.iter_mut();
        let known = known.find(|known| order_key(&known.grant.order) == *order);
        if let Some(known) = known {
            known.merge_report(reporter, origin, counts);
        }
    }
}
