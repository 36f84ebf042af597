//! A keeper, which votes on claims and stores those it granted.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::expiry_queue::ExpiryQueue;
use super::record_coverage::RecordCoverage;
use super::records_copy::RecordsCopy;
use super::{
    ClaimEnvelope, ClaimId, ClaimKeeperEvent, ClaimMessage, ClaimRecord, ClaimRelease, ClaimRoster,
    ClaimSettings, ClaimVerdict, ClaimVote, EpochConfirmation, KeeperGroup, KeyDigest, RecordsPage,
    RecordsRequest, VoteRequest,
};

const MICROS_PER_SECOND: u64 = 1_000_000;
/// Interval at which a records request to a keeper that does not answer is repeated.
const COPY_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of claims after which a page of records ends; about 150 KB.
const PAGE_CLAIMS: usize = 2_000;

/// A claim that a keeper stores for a key.
#[derive(Debug, Clone, Copy)]
struct StoredClaim {
    claim: ClaimId,
    forget_after_second: u32,
}

/// Votes on claims and stores, in memory only, which claim holds which key.
///
/// Invariant: a keeper grants a claim only if its records would contain any earlier claim that it
/// granted on the same key. The records of a restarted keeper are empty. Until it has copied those
/// of other keepers, it therefore grants claims only on keys issued after its start or, for opaque
/// keys, once it has been up for [`ClaimSettings::opaque_key_lifetime`].
#[derive(Debug, Clone)]
pub struct ClaimKeeper {
    name: NodeName,
    settings: ClaimSettings,
    started_at: Timestamp,
    /// Coverage of the records, by index of the group in the roster; contains the groups in which
    /// this process is a voter.
    coverage: BTreeMap<usize, RecordCoverage>,
    roster: ClaimRoster,
    /// Only looked up by key and never iterated, so behaviour doesn't depend on the order of the
    /// map.
    records: HashMap<KeyDigest, StoredClaim>,
    /// Further claims on keys for which the copied records of other keepers contain different
    /// claims. Any of them may be the one that a majority granted.
    conflicting_claims: BTreeMap<KeyDigest, Vec<StoredClaim>>,
    /// Unfinished copies of the other keepers' records, by index of the group.
    copies: BTreeMap<usize, RecordsCopy>,
    copy_rounds: u64,
    expiry: ExpiryQueue,
}

impl ClaimKeeper {
    /// Creates the keeper of the process `name`, which started at `started_at`, without records.
    pub fn new(name: NodeName, started_at: Timestamp, settings: ClaimSettings) -> Self {
        Self {
            name,
            settings,
            started_at,
            coverage: BTreeMap::new(),
            roster: ClaimRoster::default(),
            records: HashMap::new(),
            conflicting_claims: BTreeMap::new(),
            copies: BTreeMap::new(),
            copy_rounds: 0,
            expiry: ExpiryQueue::default(),
        }
    }

    /// Number of keys with a stored claim.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Handles an event and appends the messages to send to `sends`.
    pub fn handle(
        &mut self,
        event: ClaimKeeperEvent,
        now: Timestamp,
        sends: &mut Vec<ClaimEnvelope>,
    ) {
        self.remove_expired(now);
        match event {
            ClaimKeeperEvent::Received { from, message } => {
                self.receive(from, message, now, sends);
            }
            ClaimKeeperEvent::RosterChanged(roster) => self.adopt(roster, now),
            ClaimKeeperEvent::Tick => self.request_records(now, sends),
        }
    }

    fn adopt(&mut self, roster: ClaimRoster, now: Timestamp) {
        let mut coverage = BTreeMap::new();
        for (index, group) in roster.groups.iter().enumerate() {
            if group.is_voter(&self.name) {
                let initial_coverage = self.initial_coverage(&roster, group, now);
                let known = self.coverage.get(&index).copied();
                if known.is_none() && initial_coverage != RecordCoverage::Complete {
                    let copy =
                        RecordsCopy::new(group.epoch, now.after(self.vote_request_lifetime()));
                    self.copies.insert(index, copy);
                }
                coverage.insert(index, known.unwrap_or(initial_coverage));
            }
        }
        self.coverage = coverage;
        self.copies.retain(|index, copy| {
            let group = roster.groups.get(*index);
            group.is_some_and(|group| group.epoch == copy.epoch)
        });
        self.roster = roster;
    }

    /// Coverage of the records of a group in which this process becomes a voter. Claims granted in
    /// earlier epochs, or by an earlier process with the same name, were granted before `now`.
    /// There are none if this process was up before the first roster was written.
    fn initial_coverage(
        &self,
        roster: &ClaimRoster,
        group: &KeeperGroup,
        now: Timestamp,
    ) -> RecordCoverage {
        let latest_start = self.started_at.after(self.settings.clock_tolerance);
        let started_before_first_roster = roster
            .founded_at
            .is_some_and(|founded| latest_start < founded);
        if started_before_first_roster && group.epoch == ClaimRoster::FIRST_EPOCH {
            RecordCoverage::Complete
        } else {
            RecordCoverage::Since(now)
        }
    }

    fn receive(
        &mut self,
        from: NodeName,
        message: ClaimMessage,
        now: Timestamp,
        sends: &mut Vec<ClaimEnvelope>,
    ) {
        match message {
            ClaimMessage::Ask(request) if now < request.valid_until => {
                let verdict = self.vote(&request, now);
                let vote = ClaimVote {
                    claim: request.claim,
                    digest: request.digest,
                    verdict,
                };
                sends.push(ClaimEnvelope {
                    to: from,
                    message: vote.into(),
                });
            }
            ClaimMessage::Release(release) => {
                self.release(&release);
                sends.push(ClaimEnvelope {
                    to: from,
                    message: ClaimMessage::Released(release),
                });
            }
            ClaimMessage::AskMemory(request) => self.send_records(from, request, sends),
            ClaimMessage::Memory(page) => self.receive_records(from, page, sends),
            ClaimMessage::ConfirmEpoch(confirmation) => self.confirm(from, confirmation, sends),
            _ => {}
        }
    }

    fn confirm(
        &self,
        from: NodeName,
        confirmation: EpochConfirmation,
        sends: &mut Vec<ClaimEnvelope>,
    ) {
        let group = self.roster.groups.get(confirmation.group);
        if group.is_some_and(|group| group.epoch >= confirmation.epoch) {
            sends.push(ClaimEnvelope {
                to: from,
                message: ClaimMessage::EpochConfirmed(confirmation),
            });
        }
    }

    /// Maximum age of a vote request on which a keeper may still vote.
    fn vote_request_lifetime(&self) -> Duration {
        self.settings.vote_timeout + self.settings.clock_tolerance * 3
    }

    /// Requests the records of the other keepers. With them, this keeper can vote on older keys
    /// long before it has been up for a whole claim lifetime.
    fn request_records(&mut self, now: Timestamp, sends: &mut Vec<ClaimEnvelope>) {
        // Far enough back that this keeper can vote on opaque keys once the copy is complete.
        let copied_lifetime = self.settings.opaque_key_lifetime + self.settings.clock_tolerance * 4;
        // A claim expires no earlier than this time after its grant; see `store_claim`.
        let min_expiry_delay = self.settings.lifetime + self.settings.clock_tolerance * 2;
        for (index, copy) in &mut self.copies {
            let group = &self.roster.groups[*index];
            if now < copy.start_at || now < copy.retry_at {
                continue;
            }
            copy.retry_at = now.after(COPY_RETRY_INTERVAL);
            if copy.round == 0 {
                self.copy_rounds += 1;
                copy.round = self.copy_rounds;
                copy.copied_since = now.before(copied_lifetime);
                let from_second = second_of(copy.copied_since.after(min_expiry_delay));
                let others = group.keepers.iter().filter(|name| **name != self.name);
                copy.cursors = others.map(|name| (name.clone(), from_second)).collect();
            }
            for keeper in copy.cursors.keys() {
                if let Some(request) = copy.request_for(*index, keeper) {
                    sends.push(ClaimEnvelope {
                        to: keeper.clone(),
                        message: ClaimMessage::AskMemory(request),
                    });
                }
            }
        }
    }

    fn send_records(
        &self,
        from: NodeName,
        request: RecordsRequest,
        sends: &mut Vec<ClaimEnvelope>,
    ) {
        let group = self.roster.groups.get(request.group);
        if group.is_none_or(|group| group.epoch != request.epoch) {
            return;
        }
        let since = match self.coverage.get(&request.group) {
            Some(RecordCoverage::Complete) => Timestamp::ZERO,
            Some(RecordCoverage::Since(since)) => since.after(self.settings.clock_tolerance),
            None => return,
        };
        let (keys, next_second) = self.expiry.from(request.from_second, PAGE_CLAIMS);
        let claims = keys
            .iter()
            .filter(|(_, digest)| self.roster.group_index(*digest) == Some(request.group))
            .flat_map(|(second, digest)| self.records_expiring_at(*second, *digest))
            .collect();
        let page = RecordsPage {
            ask: request,
            since,
            claims,
            next_second,
        };
        sends.push(ClaimEnvelope {
            to: from,
            message: ClaimMessage::Memory(page),
        });
    }

    /// Claims on a key whose expiry second is `second`.
    fn records_expiring_at(&self, second: u32, digest: KeyDigest) -> Vec<ClaimRecord> {
        let conflicting_claims = self
            .conflicting_claims
            .get(&digest)
            .map_or(&[][..], Vec::as_slice);
        self.records
            .get(&digest)
            .into_iter()
            .chain(conflicting_claims)
            .filter(|record| record.forget_after_second == second)
            .map(|record| ClaimRecord {
                digest,
                claim: record.claim,
                forget_after_second: second,
            })
            .collect()
    }

    fn receive_records(
        &mut self,
        from: NodeName,
        page: RecordsPage,
        sends: &mut Vec<ClaimEnvelope>,
    ) {
        let index = page.ask.group;
        let Some(copy) = self.copies.get_mut(&index) else {
            return;
        };
        if copy.request_for(index, &from).as_ref() != Some(&page.ask) {
            return;
        }
        match page.next_second {
            Some(next_second) => {
                copy.cursors.insert(from.clone(), next_second);
                if let Some(request) = copy.request_for(index, &from) {
                    sends.push(ClaimEnvelope {
                        to: from,
                        message: ClaimMessage::AskMemory(request),
                    });
                }
            }
            None => {
                copy.cursors.remove(&from);
                copy.complete_since.insert(from, page.since);
            }
        }
        for claim in page.claims {
            self.merge_copied(&claim);
        }
        self.extend_coverage(index);
    }

    fn merge_copied(&mut self, claim: &ClaimRecord) {
        let record = StoredClaim {
            claim: claim.claim,
            forget_after_second: claim.forget_after_second,
        };
        self.expiry.push(record.forget_after_second, claim.digest);
        let Some(known) = self.records.get_mut(&claim.digest) else {
            self.records.insert(claim.digest, record);
            return;
        };
        known.forget_after_second = known.forget_after_second.max(record.forget_after_second);
        let conflicting_claims = self.conflicting_claims.get(&claim.digest);
        let is_known = known.claim == record.claim
            || conflicting_claims.is_some_and(|conflicting_claims| {
                conflicting_claims
                    .iter()
                    .any(|one| one.claim == record.claim)
            });
        if !is_known {
            self.conflicting_claims
                .entry(claim.digest)
                .or_default()
                .push(record);
        }
    }

    /// Extends the coverage to earlier grants once the records of enough keepers are copied.
    fn extend_coverage(&mut self, index: usize) {
        let Some(copy) = self.copies.get(&index) else {
            return;
        };
        let Some(known_since) = copy.known_since(&self.roster.groups[index]) else {
            return;
        };
        if let Some(RecordCoverage::Since(since)) = self.coverage.get_mut(&index) {
            *since = known_since.min(*since);
        }
        if copy.cursors.is_empty() {
            self.copies.remove(&index);
        }
    }

    fn vote(&mut self, request: &VoteRequest, now: Timestamp) -> ClaimVerdict {
        let Some(index) = self.roster.group_index(request.digest) else {
            return ClaimVerdict::OtherEpoch { epoch: None };
        };
        let group = &self.roster.groups[index];
        if group.epoch != request.epoch || !group.keepers.contains(&self.name) {
            let epoch = Some(group.epoch);
            return ClaimVerdict::OtherEpoch { epoch };
        }
        let Some(coverage) = self.coverage.get(&index).copied() else {
            return ClaimVerdict::Forgetful { until: now };
        };
        if let Some(record) = self.records.get(&request.digest) {
            let has_conflict = self.conflicting_claims.contains_key(&request.digest);
            return if record.claim == request.claim && !has_conflict {
                ClaimVerdict::Granted
            } else {
                ClaimVerdict::Held
            };
        }
        if let Some(refusal) = self.refusal(request, coverage, now) {
            return refusal;
        }
        self.store_claim(request, now);
        ClaimVerdict::Granted
    }

    /// Why the keeper must not grant a claim on a key for which it stores no claim; `None` if it may
    /// grant it.
    fn refusal(
        &self,
        request: &VoteRequest,
        coverage: RecordCoverage,
        now: Timestamp,
    ) -> Option<ClaimVerdict> {
        let tolerance = self.settings.clock_tolerance;
        let oldest = now.before(self.settings.lifetime);
        if request
            .issued_at
            .is_some_and(|issued_at| issued_at < oldest)
        {
            return Some(ClaimVerdict::Expired);
        }
        if request
            .issued_at
            .is_some_and(|issued_at| issued_at > now.after(tolerance))
        {
            return Some(ClaimVerdict::Forgetful { until: now });
        }
        if let RecordCoverage::Since(since) = coverage {
            let safe_from = since.after(tolerance);
            let until = match request.issued_at {
                Some(_) => safe_from,
                None => safe_from.after(self.settings.opaque_key_lifetime),
            };
            let can_vote = match request.issued_at {
                Some(issued_at) => issued_at > safe_from,
                None => now >= until,
            };
            if !can_vote {
                return Some(ClaimVerdict::Forgetful { until });
            }
        }
        (self.records.len() >= self.settings.keeper_capacity).then_some(ClaimVerdict::Full)
    }

    fn store_claim(&mut self, request: &VoteRequest, now: Timestamp) {
        let lifetime_start = request
            .issued_at
            .map_or(now, |issued_at| issued_at.max(now));
        let stored_until = lifetime_start
            .after(self.settings.lifetime)
            .after(self.settings.clock_tolerance)
            .after(self.settings.clock_tolerance);
        let record = StoredClaim {
            claim: request.claim,
            forget_after_second: second_of(stored_until),
        };
        self.expiry.push(record.forget_after_second, request.digest);
        self.records.insert(request.digest, record);
    }

    fn release(&mut self, release: &ClaimRelease) {
        let held = self
            .records
            .get(&release.digest)
            .is_some_and(|record| record.claim == release.claim);
        if held {
            self.records.remove(&release.digest);
        }
        if let Some(conflicting_claims) = self.conflicting_claims.get_mut(&release.digest) {
            conflicting_claims.retain(|conflicting| conflicting.claim != release.claim);
            if held && let Some(conflicting) = conflicting_claims.pop() {
                self.records.insert(release.digest, conflicting);
            }
            if conflicting_claims.is_empty() {
                self.conflicting_claims.remove(&release.digest);
            }
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let second = second_of(now);
        while let Some(digests) = self.expiry.pop_before(second) {
            for digest in digests {
                self.remove_if_expired(digest, second);
            }
        }
    }

    /// Removes the claim on a key if it has expired. A key that was released and claimed again is
    /// in the expiry queue twice, so the stored claim decides.
    fn remove_if_expired(&mut self, digest: KeyDigest, second: u32) {
        let expired = self
            .records
            .get(&digest)
            .is_some_and(|record| record.forget_after_second < second);
        if expired {
            self.records.remove(&digest);
            self.conflicting_claims.remove(&digest);
        }
    }
}

fn second_of(time: Timestamp) -> u32 {
    u32::try_from(time.as_micros() / MICROS_PER_SECOND).unwrap_or(u32::MAX)
}
