//! Keeper of claims.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::expiry_queue::ExpiryQueue;
use super::keeper_memory::KeeperMemory;
use super::memory_copy::MemoryCopy;
use super::{
    ClaimAsk, ClaimId, ClaimKeeperEvent, ClaimMessage, ClaimRelease, ClaimRoster, ClaimSend,
    ClaimSettings, ClaimVerdict, ClaimVote, EpochConfirmation, KeeperGroup, KeyDigest, MemoryAsk,
    MemoryPage, RememberedClaim,
};

const MICROS_PER_SECOND: u64 = 1_000_000;
/// Time between questions to a keeper that does not answer.
const COPY_INTERVAL: Duration = Duration::from_secs(1);
/// Claims in one part of a copy; about 150 KB.
const PAGE_CLAIMS: usize = 2_000;

/// What a keeper remembers of a key.
#[derive(Debug, Clone, Copy)]
struct Record {
    claim: ClaimId,
    forget_after_second: u32,
}

/// Remembers, in memory only, which claim holds which key.
///
/// Invariant: a keeper votes for a claim only if it would remember any earlier vote of its own for
/// the same key. A keeper that restarts is empty, so it votes only on keys issued after its start
/// or, where the key does not tell, after it has been up for a whole claim lifetime.
#[derive(Debug, Clone)]
pub struct ClaimKeeper {
    name: NodeName,
    settings: ClaimSettings,
    started_at: Timestamp,
    /// By position of the group in the roster; groups in which this process is a settled keeper.
    memory: BTreeMap<usize, KeeperMemory>,
    roster: ClaimRoster,
    /// Looked up by key only; never iterated, so its order decides nothing.
    records: HashMap<KeyDigest, Record>,
    /// Claims on keys that other keepers had granted to different claims when they were copied:
    /// any of them may be the one that a majority granted.
    rivals: BTreeMap<KeyDigest, Vec<Record>>,
    /// Copies of the other keepers' memory, by position of the group.
    copies: BTreeMap<usize, MemoryCopy>,
    copy_rounds: u64,
    expiry: ExpiryQueue,
}

impl ClaimKeeper {
    /// A keeper in the process `name`, which started at `started_at` with an empty memory.
    pub fn new(name: NodeName, started_at: Timestamp, settings: ClaimSettings) -> Self {
        Self {
            name,
            settings,
            started_at,
            memory: BTreeMap::new(),
            roster: ClaimRoster::default(),
            records: HashMap::new(),
            rivals: BTreeMap::new(),
            copies: BTreeMap::new(),
            copy_rounds: 0,
            expiry: ExpiryQueue::default(),
        }
    }

    /// Claims remembered now.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }

    /// Takes an event and appends the messages to send.
    pub fn handle(&mut self, event: ClaimKeeperEvent, now: Timestamp, sends: &mut Vec<ClaimSend>) {
        self.forget_expired(now);
        match event {
            ClaimKeeperEvent::Received { from, message } => {
                self.receive(from, message, now, sends);
            }
            ClaimKeeperEvent::RosterChanged(roster) => self.adopt(roster, now),
            ClaimKeeperEvent::Tick => self.copy_memory(now, sends),
        }
    }

    fn adopt(&mut self, roster: ClaimRoster, now: Timestamp) {
        let mut memory = BTreeMap::new();
        for (index, group) in roster.groups.iter().enumerate() {
            if group.has_settled(&self.name) {
                let first_memory = self.first_memory(&roster, group, now);
                let known = self.memory.get(&index).copied();
                if known.is_none() && first_memory != KeeperMemory::Whole {
                    let copy = MemoryCopy::new(group.epoch, now.after(self.asks_lapse_after()));
                    self.copies.insert(index, copy);
                }
                memory.insert(index, known.unwrap_or(first_memory));
            }
        }
        self.memory = memory;
        self.copies.retain(|index, copy| {
            let group = roster.groups.get(*index);
            group.is_some_and(|group| group.epoch == copy.epoch)
        });
        self.roster = roster;
    }

    /// How far back a process remembers a group that it sees itself a settled keeper of for the
    /// first time. Claims of earlier epochs, and of an earlier process of its name, lie before
    /// `now`; there are none when it was up before the first roster was written.
    fn first_memory(
        &self,
        roster: &ClaimRoster,
        group: &KeeperGroup,
        now: Timestamp,
    ) -> KeeperMemory {
        let up_since = self.started_at.after(self.settings.clock_tolerance);
        let up_at_founding = roster.founded_at.is_some_and(|founded| up_since < founded);
        if up_at_founding && group.epoch == ClaimRoster::FIRST_EPOCH {
            KeeperMemory::Whole
        } else {
            KeeperMemory::Since(now)
        }
    }

    fn receive(
        &mut self,
        from: NodeName,
        message: ClaimMessage,
        now: Timestamp,
        sends: &mut Vec<ClaimSend>,
    ) {
        match message {
            ClaimMessage::Ask(ask) if now < ask.valid_until => {
                let verdict = self.vote(&ask, now);
                let vote = ClaimVote {
                    claim: ask.claim,
                    digest: ask.digest,
                    verdict,
                };
                sends.push(ClaimSend {
                    to: from,
                    message: vote.into(),
                });
            }
            ClaimMessage::Release(release) => {
                self.release(&release);
                sends.push(ClaimSend {
                    to: from,
                    message: ClaimMessage::Released(release),
                });
            }
            ClaimMessage::AskMemory(ask) => self.show_memory(from, ask, sends),
            ClaimMessage::Memory(page) => self.take_memory(from, page, sends),
            ClaimMessage::ConfirmEpoch(asked) => self.confirm(from, asked, sends),
            _ => {}
        }
    }

    fn confirm(&self, from: NodeName, asked: EpochConfirmation, sends: &mut Vec<ClaimSend>) {
        let group = self.roster.groups.get(asked.group);
        if group.is_some_and(|group| group.epoch >= asked.epoch) {
            sends.push(ClaimSend {
                to: from,
                message: ClaimMessage::EpochConfirmed(asked),
            });
        }
    }

    /// Any ask that a keeper may still vote on was sent less than this long ago.
    fn asks_lapse_after(&self) -> Duration {
        self.settings.vote_timeout + self.settings.clock_tolerance * 3
    }

    /// Asks the other keepers for what they remember: with that this keeper can vote again long
    /// before it has been up for as long as claims must be remembered.
    fn copy_memory(&mut self, now: Timestamp, sends: &mut Vec<ClaimSend>) {
        let reach = self.settings.plain_lifetime + self.settings.clock_tolerance * 4;
        let to_expiry = self.settings.lifetime + self.settings.clock_tolerance * 2;
        for (index, copy) in &mut self.copies {
            let group = &self.roster.groups[*index];
            if now < copy.start_at || now < copy.ask_again_at {
                continue;
            }
            copy.ask_again_at = now.after(COPY_INTERVAL);
            if copy.round == 0 {
                self.copy_rounds += 1;
                copy.round = self.copy_rounds;
                copy.reaches_to = now.before(reach);
                let from_second = second_of(copy.reaches_to.after(to_expiry));
                let others = group.keepers.iter().filter(|name| **name != self.name);
                copy.cursors = others.map(|name| (name.clone(), from_second)).collect();
            }
            for keeper in copy.cursors.keys() {
                if let Some(ask) = copy.ask_for(*index, keeper) {
                    sends.push(ClaimSend {
                        to: keeper.clone(),
                        message: ClaimMessage::AskMemory(ask),
                    });
                }
            }
        }
    }

    fn show_memory(&self, from: NodeName, ask: MemoryAsk, sends: &mut Vec<ClaimSend>) {
        let group = self.roster.groups.get(ask.group);
        if group.is_none_or(|group| group.epoch != ask.epoch) {
            return;
        }
        let since = match self.memory.get(&ask.group) {
            Some(KeeperMemory::Whole) => Timestamp::ZERO,
            Some(KeeperMemory::Since(since)) => since.after(self.settings.clock_tolerance),
            None => return,
        };
        let (keys, next_second) = self.expiry.from(ask.from_second, PAGE_CLAIMS);
        let claims = keys
            .iter()
            .filter(|(_, digest)| self.roster.group_index(*digest) == Some(ask.group))
            .flat_map(|(second, digest)| self.remembered_claims(*second, *digest))
            .collect();
        let page = MemoryPage {
            ask,
            since,
            claims,
            next_second,
        };
        sends.push(ClaimSend {
            to: from,
            message: ClaimMessage::Memory(page),
        });
    }

    /// Claims on a key that may be forgotten after `second`.
    fn remembered_claims(&self, second: u32, digest: KeyDigest) -> Vec<RememberedClaim> {
        let rivals = self.rivals.get(&digest).map_or(&[][..], Vec::as_slice);
        self.records
            .get(&digest)
            .into_iter()
            .chain(rivals)
            .filter(|record| record.forget_after_second == second)
            .map(|record| RememberedClaim {
                digest,
                claim: record.claim,
                forget_after_second: second,
            })
            .collect()
    }

    fn take_memory(&mut self, from: NodeName, page: MemoryPage, sends: &mut Vec<ClaimSend>) {
        let index = page.ask.group;
        let Some(copy) = self.copies.get_mut(&index) else {
            return;
        };
        if copy.ask_for(index, &from).as_ref() != Some(&page.ask) {
            return;
        }
        match page.next_second {
            Some(next_second) => {
                copy.cursors.insert(from.clone(), next_second);
                if let Some(ask) = copy.ask_for(index, &from) {
                    sends.push(ClaimSend {
                        to: from,
                        message: ClaimMessage::AskMemory(ask),
                    });
                }
            }
            None => {
                copy.cursors.remove(&from);
                copy.complete.insert(from, page.since);
            }
        }
        for claim in page.claims {
            self.note_copied(&claim);
        }
        self.end_copy(index);
    }

    fn note_copied(&mut self, claim: &RememberedClaim) {
        let record = Record {
            claim: claim.claim,
            forget_after_second: claim.forget_after_second,
        };
        self.expiry.push(record.forget_after_second, claim.digest);
        let Some(known) = self.records.get_mut(&claim.digest) else {
            self.records.insert(claim.digest, record);
            return;
        };
        known.forget_after_second = known.forget_after_second.max(record.forget_after_second);
        let rivals = self.rivals.get(&claim.digest);
        let is_known = known.claim == record.claim
            || rivals.is_some_and(|rivals| rivals.iter().any(|one| one.claim == record.claim));
        if !is_known {
            self.rivals.entry(claim.digest).or_default().push(record);
        }
    }

    /// Votes on older keys again once enough keepers were copied.
    fn end_copy(&mut self, index: usize) {
        let Some(copy) = self.copies.get(&index) else {
            return;
        };
        let Some(known_since) = copy.known_since(&self.roster.groups[index]) else {
            return;
        };
        if let Some(KeeperMemory::Since(since)) = self.memory.get_mut(&index) {
            *since = known_since.min(*since);
        }
        if copy.cursors.is_empty() {
            self.copies.remove(&index);
        }
    }

    fn vote(&mut self, ask: &ClaimAsk, now: Timestamp) -> ClaimVerdict {
        let Some(index) = self.roster.group_index(ask.digest) else {
            return ClaimVerdict::OtherEpoch { epoch: None };
        };
        let group = &self.roster.groups[index];
        if group.epoch != ask.epoch || !group.keepers.contains(&self.name) {
            let epoch = Some(group.epoch);
            return ClaimVerdict::OtherEpoch { epoch };
        }
        let Some(memory) = self.memory.get(&index).copied() else {
            return ClaimVerdict::Forgetful { until: now };
        };
        if let Some(record) = self.records.get(&ask.digest) {
            let contested = self.rivals.contains_key(&ask.digest);
            return if record.claim == ask.claim && !contested {
                ClaimVerdict::Granted
            } else {
                ClaimVerdict::Held
            };
        }
        if let Some(refusal) = self.refusal(ask, memory, now) {
            return refusal;
        }
        self.remember(ask, now);
        ClaimVerdict::Granted
    }

    fn refusal(
        &self,
        ask: &ClaimAsk,
        memory: KeeperMemory,
        now: Timestamp,
    ) -> Option<ClaimVerdict> {
        let tolerance = self.settings.clock_tolerance;
        let oldest = now.before(self.settings.lifetime);
        if ask.issued_at.is_some_and(|issued_at| issued_at < oldest) {
            return Some(ClaimVerdict::Expired);
        }
        if ask
            .issued_at
            .is_some_and(|issued_at| issued_at > now.after(tolerance))
        {
            return Some(ClaimVerdict::Forgetful { until: now });
        }
        if let KeeperMemory::Since(since) = memory {
            let safe_from = since.after(tolerance);
            let until = match ask.issued_at {
                Some(_) => safe_from,
                None => safe_from.after(self.settings.plain_lifetime),
            };
            let knows = match ask.issued_at {
                Some(issued_at) => issued_at > safe_from,
                None => now >= until,
            };
            if !knows {
                return Some(ClaimVerdict::Forgetful { until });
            }
        }
        (self.records.len() >= self.settings.keeper_capacity).then_some(ClaimVerdict::Full)
    }

    fn remember(&mut self, ask: &ClaimAsk, now: Timestamp) {
        let claimed_from = ask.issued_at.map_or(now, |issued_at| issued_at.max(now));
        let kept_until = claimed_from
            .after(self.settings.lifetime)
            .after(self.settings.clock_tolerance)
            .after(self.settings.clock_tolerance);
        let record = Record {
            claim: ask.claim,
            forget_after_second: second_of(kept_until),
        };
        self.expiry.push(record.forget_after_second, ask.digest);
        self.records.insert(ask.digest, record);
    }

    fn release(&mut self, release: &ClaimRelease) {
        let held = self
            .records
            .get(&release.digest)
            .is_some_and(|record| record.claim == release.claim);
        if held {
            self.records.remove(&release.digest);
        }
        if let Some(rivals) = self.rivals.get_mut(&release.digest) {
            rivals.retain(|rival| rival.claim != release.claim);
            if held && let Some(rival) = rivals.pop() {
                self.records.insert(release.digest, rival);
            }
            if rivals.is_empty() {
                self.rivals.remove(&release.digest);
            }
        }
    }

    fn forget_expired(&mut self, now: Timestamp) {
        let second = second_of(now);
        while let Some(digests) = self.expiry.pop_before(second) {
            for digest in digests {
                self.forget_if_expired(digest, second);
            }
        }
    }

    /// A key that was released and claimed again stands in the queue twice; its record decides.
    fn forget_if_expired(&mut self, digest: KeyDigest, second: u32) {
        let expired = self
            .records
            .get(&digest)
            .is_some_and(|record| record.forget_after_second < second);
        if expired {
            self.records.remove(&digest);
            self.rivals.remove(&digest);
        }
    }
}

fn second_of(time: Timestamp) -> u32 {
    u32::try_from(time.as_micros() / MICROS_PER_SECOND).unwrap_or(u32::MAX)
}
