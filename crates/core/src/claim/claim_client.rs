//! The claiming side of the protocol.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::{IdempotencyKey, NodeName, RequestId, TenantName};
use crate::timestamp::Timestamp;

use super::pending_claim::PendingClaim;
use super::pending_release::PendingRelease;
use super::{
    ClaimClientAction, ClaimClientEvent, ClaimEnvelope, ClaimGrant, ClaimId, ClaimMessage,
    ClaimOutcome, ClaimRelease, ClaimRoster, ClaimSettings, ClaimVerdict, ClaimVote, KeyDigest,
    VoteRequest, issued_at,
};

/// Increment between successive claim ids (2^64 divided by the golden ratio). It is odd, so the
/// sequence visits every 64-bit number once.
const CLAIM_ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A granted claim whose request has not ended.
#[derive(Debug, Clone)]
struct HeldClaim {
    digest: KeyDigest,
    keepers: Vec<NodeName>,
}

/// Claims idempotency keys for the requests of one router process.
///
/// Invariant: the claim of a request is granted at most once, only by a majority of the key's
/// keepers in a single epoch, and the request of a released claim is never dispatched.
#[derive(Debug, Clone)]
pub struct ClaimClient {
    settings: ClaimSettings,
    roster: ClaimRoster,
    last_claim: u64,
    pending: BTreeMap<ClaimId, PendingClaim>,
    held: BTreeMap<ClaimId, HeldClaim>,
    releases: BTreeMap<ClaimId, PendingRelease>,
}

impl ClaimClient {
    /// Creates a client. `seed` must differ between processes and between starts of one process,
    /// because claim ids are derived from it.
    pub fn new(seed: u64, settings: ClaimSettings) -> Self {
        Self {
            settings,
            roster: ClaimRoster::default(),
            last_claim: seed,
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            releases: BTreeMap::new(),
        }
    }

    /// When the next [`ClaimClientEvent::Tick`] is due; `None` while nothing is pending.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let decisions = self.pending.values().map(|claim| claim.vote_deadline);
        let sends = self.releases.values().map(|release| release.next_send_at);
        decisions.chain(sends).min()
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        event: ClaimClientEvent,
        now: Timestamp,
        actions: &mut Vec<ClaimClientAction>,
    ) {
        match event {
            ClaimClientEvent::Requested {
                request,
                tenant,
                key,
            } => self.request(request, &tenant, &key, now, actions),
            ClaimClientEvent::NotRun { claim } => self.release_unrun(claim, now, actions),
            ClaimClientEvent::Ended { claim } => {
                self.held.remove(&claim);
            }
            ClaimClientEvent::Received { from, message } => {
                self.receive(from, message, now, actions);
            }
            ClaimClientEvent::RosterChanged(roster) => self.roster = roster,
            ClaimClientEvent::Tick => self.tick(now, actions),
        }
    }

    fn request(
        &mut self,
        request: RequestId,
        tenant: &TenantName,
        key: &IdempotencyKey,
        now: Timestamp,
        actions: &mut Vec<ClaimClientAction>,
    ) {
        let issued_at = issued_at(key);
        let digest = KeyDigest::of(tenant, key);
        let decided = self.decide_by_age(issued_at, now);
        let group = self.roster.group_of(digest).cloned();
        let (Some(group), None) = (group, decided) else {
            let outcome = decided.unwrap_or(self.unavailable(self.settings.retry_after));
            actions.push(ClaimClientAction::Decided { request, outcome });
            return;
        };
        let claim = self.next_claim_id();
        let vote_deadline = now.after(self.settings.vote_timeout);
        let vote_request = VoteRequest {
            claim,
            digest,
            issued_at,
            epoch: group.epoch,
            valid_until: vote_deadline.after(self.settings.clock_tolerance),
        };
        push_sends(&group.keepers, &vote_request.into(), actions);
        let pending = PendingClaim {
            request,
            digest,
            group,
            requested_at: now,
            vote_deadline,
            verdicts: BTreeMap::new(),
        };
        self.pending.insert(claim, pending);
    }

    /// The outcome, if the key's issue time alone determines it.
    fn decide_by_age(&self, issued_at: Option<Timestamp>, now: Timestamp) -> Option<ClaimOutcome> {
        let issued_at = issued_at?;
        if issued_at < now.before(self.settings.lifetime) {
            return Some(ClaimOutcome::KeyExpired);
        }
        let latest = now.after(self.settings.clock_tolerance);
        (issued_at > latest).then(|| self.unavailable(issued_at.since(latest)))
    }

    fn receive(
        &mut self,
        from: NodeName,
        message: ClaimMessage,
        now: Timestamp,
        actions: &mut Vec<ClaimClientAction>,
    ) {
        match message {
            ClaimMessage::Vote(vote) => self.receive_vote(from, &vote, now, actions),
            ClaimMessage::Released(release) => self.receive_released(&from, &release),
            _ => {}
        }
    }

    fn receive_vote(
        &mut self,
        from: NodeName,
        vote: &ClaimVote,
        now: Timestamp,
        actions: &mut Vec<ClaimClientAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&vote.claim) else {
            return;
        };
        if pending.digest != vote.digest {
            return;
        }
        pending.record(from, vote.verdict);
        self.decide_if_ready(vote.claim, now, actions);
    }

    fn decide_if_ready(
        &mut self,
        claim: ClaimId,
        now: Timestamp,
        actions: &mut Vec<ClaimClientAction>,
    ) {
        let Some(pending) = self.pending.get(&claim) else {
            return;
        };
        let timed_out = now >= pending.vote_deadline;
        // After a long pause of this process, a majority that arrives too late must not allow
        // dispatch.
        if pending.is_granted() && !timed_out {
            self.grant(claim, actions);
        } else if pending.cannot_succeed() || timed_out {
            self.fail(claim, now, actions);
        }
    }

    fn grant(&mut self, claim: ClaimId, actions: &mut Vec<ClaimClientAction>) {
        let Some(pending) = self.pending.remove(&claim) else {
            return;
        };
        let held = HeldClaim {
            digest: pending.digest,
            keepers: pending.group.keepers,
        };
        self.held.insert(claim, held);
        let grant = ClaimGrant {
            claim,
            dispatch_before: pending.requested_at.after(self.settings.grant_validity),
        };
        actions.push(ClaimClientAction::Decided {
            request: pending.request,
            outcome: ClaimOutcome::Granted(grant),
        });
    }

    fn fail(&mut self, claim: ClaimId, now: Timestamp, actions: &mut Vec<ClaimClientAction>) {
        let Some(pending) = self.pending.remove(&claim) else {
            return;
        };
        let outcome = self.failure_outcome(&pending, now);
        actions.push(ClaimClientAction::Decided {
            request: pending.request,
            outcome,
        });
        self.start_release(claim, pending.digest, &pending.group.keepers, now, actions);
    }

    fn failure_outcome(&self, pending: &PendingClaim, now: Timestamp) -> ClaimOutcome {
        if pending.has_verdict(ClaimVerdict::Held) {
            return ClaimOutcome::AlreadyClaimed;
        }
        if pending.has_verdict(ClaimVerdict::Expired) {
            return ClaimOutcome::KeyExpired;
        }
        let wait = pending
            .majority_can_vote_from()
            .map_or(Duration::ZERO, |majority_can_vote_from| {
                majority_can_vote_from.since(now)
            });
        self.unavailable(wait.max(self.settings.retry_after))
    }

    fn release_unrun(
        &mut self,
        claim: ClaimId,
        now: Timestamp,
        actions: &mut Vec<ClaimClientAction>,
    ) {
        let Some(held) = self.held.remove(&claim) else {
            return;
        };
        self.start_release(claim, held.digest, &held.keepers, now, actions);
    }

    fn start_release(
        &mut self,
        claim: ClaimId,
        digest: KeyDigest,
        keepers: &[NodeName],
        now: Timestamp,
        actions: &mut Vec<ClaimClientAction>,
    ) {
        let release = PendingRelease {
            release: ClaimRelease { claim, digest },
            unacknowledged: keepers.iter().cloned().collect(),
            sends_left: self.settings.max_release_sends,
            next_send_at: now,
        };
        self.releases.insert(claim, release);
        self.send_release(claim, now, actions);
    }

    fn send_release(
        &mut self,
        claim: ClaimId,
        now: Timestamp,
        actions: &mut Vec<ClaimClientAction>,
    ) {
        let Some(pending) = self.releases.get_mut(&claim) else {
            return;
        };
        if pending.sends_left == 0 {
            self.releases.remove(&claim);
            return;
        }
        pending.sends_left -= 1;
        pending.next_send_at = now.after(self.settings.release_interval);
        let message = ClaimMessage::Release(pending.release.clone());
        push_sends(&pending.unacknowledged, &message, actions);
    }

    fn receive_released(&mut self, from: &NodeName, release: &ClaimRelease) {
        let Some(pending) = self.releases.get_mut(&release.claim) else {
            return;
        };
        pending.unacknowledged.remove(from);
        if pending.unacknowledged.is_empty() {
            self.releases.remove(&release.claim);
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<ClaimClientAction>) {
        let claims: Vec<ClaimId> = self.pending.keys().copied().collect();
        for claim in claims {
            self.decide_if_ready(claim, now, actions);
        }
        let due: Vec<ClaimId> = self
            .releases
            .iter()
            .filter(|(_, release)| release.next_send_at <= now)
            .map(|(claim, _)| *claim)
            .collect();
        for claim in due {
            self.send_release(claim, now, actions);
        }
    }

    fn next_claim_id(&mut self) -> ClaimId {
        self.last_claim = self.last_claim.wrapping_add(CLAIM_ID_STEP);
        ClaimId(self.last_claim)
    }

    fn unavailable(&self, retry_after: Duration) -> ClaimOutcome {
        ClaimOutcome::Unavailable { retry_after }
    }
}

fn push_sends<'a>(
    keepers: impl IntoIterator<Item = &'a NodeName>,
    message: &ClaimMessage,
    actions: &mut Vec<ClaimClientAction>,
) {
    for keeper in keepers {
        let send = ClaimEnvelope {
            to: keeper.clone(),
            message: message.clone(),
        };
        actions.push(send.into());
    }
}
