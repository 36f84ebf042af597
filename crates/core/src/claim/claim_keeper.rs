//! Keeper of claims.

use std::collections::{BTreeMap, HashMap};

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::expiry_queue::ExpiryQueue;
use super::keeper_memory::KeeperMemory;
use super::{
    ClaimAsk, ClaimId, ClaimKeeperEvent, ClaimMessage, ClaimRelease, ClaimRoster, ClaimSend,
    ClaimSettings, ClaimVerdict, ClaimVote, EpochConfirmation, KeeperGroup, KeyDigest,
};

const MICROS_PER_SECOND: u64 = 1_000_000;

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
        }
    }

    fn adopt(&mut self, roster: ClaimRoster, now: Timestamp) {
        let mut memory = BTreeMap::new();
        for (index, group) in roster.groups.iter().enumerate() {
            if group.has_settled(&self.name) {
                let first_memory = self.first_memory(&roster, group, now);
                let reach = self.memory.get(&index).copied().unwrap_or(first_memory);
                memory.insert(index, reach);
            }
        }
        self.memory = memory;
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
            return if record.claim == ask.claim {
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
        }
    }
}

fn second_of(time: Timestamp) -> u32 {
    u32::try_from(time.as_micros() / MICROS_PER_SECOND).unwrap_or(u32::MAX)
}
