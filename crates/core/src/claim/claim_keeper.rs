//! Keeper of claims.

use std::collections::HashMap;

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::expiry_queue::ExpiryQueue;
use super::{
    ClaimAsk, ClaimId, ClaimKeeperEvent, ClaimMessage, ClaimRelease, ClaimRoster, ClaimSend,
    ClaimSettings, ClaimVerdict, ClaimVote, KeeperGroup, KeyDigest,
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
    /// This keeper remembers all that was granted in its name at or after this time; `None` when
    /// nothing was granted before.
    remembers_from: Option<Timestamp>,
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
            remembers_from: Some(started_at),
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
        for (index, group) in roster.groups.iter().enumerate() {
            let settled_before = self
                .roster
                .groups
                .get(index)
                .is_some_and(|old| old.has_settled(&self.name));
            if group.has_settled(&self.name) && !settled_before {
                self.remembers_from = self.first_memory(&roster, group, now);
            }
        }
        self.roster = roster;
    }

    /// From when a process remembers a group that it sees itself a settled keeper of for the
    /// first time. Claims of earlier epochs, and of an earlier process of its name, lie before
    /// `now`; there are none when it was up before the first roster was written.
    fn first_memory(
        &self,
        roster: &ClaimRoster,
        group: &KeeperGroup,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let up_since = self.started_at.after(self.settings.clock_tolerance);
        let up_at_founding = roster.founded_at.is_some_and(|founded| up_since < founded);
        let saw_everything = up_at_founding && group.epoch == ClaimRoster::FIRST_EPOCH;
        (!saw_everything).then_some(now)
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
            ClaimMessage::Ask(_) | ClaimMessage::Vote(_) | ClaimMessage::Released(_) => {}
        }
    }

    fn vote(&mut self, ask: &ClaimAsk, now: Timestamp) -> ClaimVerdict {
        let epoch = self.roster.epoch_kept_by(&self.name, ask.digest);
        if epoch != Some(ask.epoch) {
            return ClaimVerdict::OtherEpoch { epoch };
        }
        if !self.roster.is_settled_keeper(&self.name, ask.digest) {
            return ClaimVerdict::Forgetful { until: now };
        }
        if let Some(record) = self.records.get(&ask.digest) {
            return if record.claim == ask.claim {
                ClaimVerdict::Granted
            } else {
                ClaimVerdict::Held
            };
        }
        if let Some(refusal) = self.refusal(ask, now) {
            return refusal;
        }
        self.remember(ask, now);
        ClaimVerdict::Granted
    }

    fn refusal(&self, ask: &ClaimAsk, now: Timestamp) -> Option<ClaimVerdict> {
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
        if let Some(from) = self.remembers_from {
            // An earlier claim on a key without issue time may be as old as the lifetime.
            let first_seen = ask
                .issued_at
                .unwrap_or_else(|| now.before(self.settings.lifetime));
            let safe_from = from.after(tolerance);
            if first_seen <= safe_from {
                let until = match ask.issued_at {
                    Some(_) => safe_from,
                    None => safe_from.after(self.settings.lifetime),
                };
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
