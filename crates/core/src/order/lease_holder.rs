//! Holder of a lease.

use std::time::Duration;

use crate::control::{
    ObjectKey, Precondition, StoreAnswer, StoreCall, StoreValue, StoreVersion, StoredObject,
};
use crate::identity::{FencingNumber, Incarnation, NodeName};
use crate::timestamp::Timestamp;

use super::{HeldLease, LeaseAction, LeaseEvent, LeaseRecord, LeaseSettings};

/// Reads that lie so many look intervals apart at most are consecutive.
const MAX_LOOKS_BETWEEN: u32 = 4;

/// Era of a store that has never come back from a copy.
const FIRST_ERA: u64 = 1;

/// Bits of a fencing number that count within an era of the store.
const ERA_SHIFT: u32 = 32;

/// The call that is open.
#[derive(Debug, Clone)]
enum OpenCall {
    Look,
    Write {
        record: LeaseRecord,
        sent_at: Timestamp,
    },
}

/// The lease as it was last read or written.
#[derive(Debug, Clone)]
struct SeenLease {
    record: LeaseRecord,
    version: StoreVersion,
    /// When this version was first seen, by the own clock: other clocks are not trusted.
    seen_at: Timestamp,
}

/// Holds, or tries to hold, one lease in the object API.
///
/// Invariants: each holder writes a higher fencing number than the one before, by compare-and-swap
/// on the object's version; the lease counts as held from when the write that took it was sent.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    key: ObjectKey,
    name: NodeName,
    incarnation: Incarnation,
    settings: LeaseSettings,
    candidate: bool,
    open: Option<OpenCall>,
    seen: Option<SeenLease>,
    /// Since when each read shows an older version than seen, or no object, and the last such read.
    reads_behind: Option<(Timestamp, Timestamp)>,
    /// The highest number seen, which outlasts the object.
    highest: FencingNumber,
    held: Option<HeldLease>,
    /// A write whose answer was lost; settled by a look.
    uncertain: Option<(LeaseRecord, Timestamp)>,
    next_call_at: Timestamp,
    /// Era of the store.
    era: u64,
    /// Whether this process held the lease when it saw the store come back from a copy. The copy may name an earlier
    /// holder, or an earlier fencing number of this one, so the lease is taken anew rather than renewed.
    must_retake: bool,
    /// When this process saw the store come back from a copy.
    restored_at: Option<Timestamp>,
}

impl LeaseHolder {
    /// Holder of the lease called `lease` in the process `name`.
    pub fn new(
        lease: &str,
        name: NodeName,
        incarnation: Incarnation,
        settings: LeaseSettings,
    ) -> Self {
        Self {
            key: ObjectKey::Lease(lease.to_owned()),
            name,
            incarnation,
            settings,
            candidate: false,
            open: None,
            seen: None,
            reads_behind: None,
            highest: FencingNumber::default(),
            held: None,
            uncertain: None,
            next_call_at: Timestamp::ZERO,
            era: 0,
            must_retake: false,
            restored_at: None,
        }
    }

    /// The lease, while it is held.
    pub fn held(&self, now: Timestamp) -> Option<HeldLease> {
        self.held.filter(|held| held.is_valid(now))
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(&mut self, event: LeaseEvent, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        match event {
            LeaseEvent::Candidacy(candidate) => self.candidate = candidate,
            LeaseEvent::StoreAnswered(answer) => self.answered(answer, now, actions),
            LeaseEvent::Heard {
                record,
                version,
                age,
            } => self.heard(record, version, age, now),
            LeaseEvent::Superseded(newer) => self.superseded(newer, actions),
            LeaseEvent::Era(era) => self.note_era(era, now),
            LeaseEvent::Tick => {}
        }
        self.lapse(now, actions);
        self.advance(now, actions);
    }

    /// Whether a call is open that may win the lease.
    pub fn is_asking(&self) -> bool {
        self.open.is_some() || self.uncertain.is_some()
    }

    /// The lease as it was last read or written, and when it was first seen so.
    pub fn last_seen(&self) -> Option<(&LeaseRecord, StoreVersion, Timestamp)> {
        let seen = self.seen.as_ref()?;
        Some((&seen.record, seen.version, seen.seen_at))
    }

    /// Notes the era of the store. In a new one it may lack the last writes of the lease.
    fn note_era(&mut self, era: u64, now: Timestamp) {
        if era <= self.era {
            return;
        }
        let is_first = self.era == 0;
        self.era = era;
        if is_first {
            return;
        }
        if let Some(held) = self.held {
            self.highest = self.highest.max(held.fencing_number);
        }
        self.must_retake = self.held.is_some();
        self.restored_at = Some(now);
        self.forget_history();
    }

    /// Notes in which era the first record was written that this process has read or heard of; `None` if there is no
    /// record. If it was a former one, the store came back from a copy before this process started, and the last writes
    /// before that are lost.
    fn note_first_record(&mut self, record: Option<&LeaseRecord>, now: Timestamp) {
        let is_first = self.seen.is_none() && self.held.is_none() && self.restored_at.is_none();
        let is_of_former_era = match record {
            Some(record) => record.fencing_number < self.lowest_of_era(),
            None => self.era > FIRST_ERA,
        };
        if is_first && is_of_former_era {
            self.restored_at = Some(now);
        }
    }

    /// The lowest fencing number of the era. Numbers of former eras may have been given out and be lost.
    fn lowest_of_era(&self) -> FencingNumber {
        FencingNumber(self.era << ERA_SHIFT)
    }

    /// What another process tells counts like a look: a lease may be taken only on the condition
    /// that it is still at the version that was seen.
    fn heard(&mut self, record: LeaseRecord, version: StoreVersion, age: Duration, now: Timestamp) {
        let seen_at = now.before(age);
        if self.open.is_some() || self.uncertain.is_some() || self.held.is_some() {
            return;
        }
        if version.era() != self.era {
            return;
        }
        self.note_first_record(Some(&record), now);
        match &mut self.seen {
            Some(seen) if version < seen.version => {}
            Some(seen) if version == seen.version => seen.seen_at = seen.seen_at.min(seen_at),
            _ => {
                self.seen = Some(SeenLease {
                    record,
                    version,
                    seen_at,
                });
            }
        }
    }

    fn superseded(&mut self, newer: FencingNumber, actions: &mut Vec<LeaseAction>) {
        if self.held.is_some_and(|held| held.fencing_number < newer) {
            self.lose(actions);
        }
    }

    fn lapse(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        if self.held.is_some_and(|held| !held.is_valid(now)) {
            self.lose(actions);
        }
    }

    fn lose(&mut self, actions: &mut Vec<LeaseAction>) {
        self.held = None;
        self.must_retake = false;
        actions.push(LeaseAction::Changed(None));
    }

    fn advance(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        let must_resign = self.held.is_some() && !self.candidate;
        if must_resign && self.must_retake {
            self.lose(actions);
        }
        if self.open.is_some() || (now < self.next_call_at && !must_resign) {
            return;
        }
        if self.held.is_none() && !self.candidate {
            return;
        }
        if self.uncertain.is_some() {
            self.look(now, actions);
        } else if self.held.is_some() && !self.must_retake {
            self.renew_or_resign(now, actions);
        } else if self.is_free(now) {
            self.take(now, actions);
        } else {
            self.look(now, actions);
        }
    }

    /// Whether the lease may be taken: its holder gave it up, this node held it last, or its holder
    /// did not renew it for longer than it lasts.
    ///
    /// A lease that this node let run out, in this life of its process or an earlier one, is taken
    /// back under the condition that nobody wrote it since, so no other node can have held it in
    /// between. Names of nodes are unique, and a new life begins only after the former has ended.
    fn is_free(&self, now: Timestamp) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        if self.must_retake && self.held.is_some() {
            return true;
        }
        if self.is_restored_lately(now) {
            return false;
        }
        if seen.record.holder.as_ref() == Some(&self.name) {
            return true;
        }
        let patience = match seen.record.holder {
            Some(_) => self.settings.duration + self.settings.takeover_margin,
            None => self.settings.release_margin,
        };
        now >= seen.seen_at.after(patience)
    }

    /// Whether somebody may hold the lease by a write that the store has lost.
    fn is_restored_lately(&self, now: Timestamp) -> bool {
        let span = self.settings.duration + self.settings.takeover_margin;
        self.restored_at.is_some_and(|at| now < at.after(span))
    }

    fn look(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        self.next_call_at = now.after(self.settings.look_interval);
        self.open = Some(OpenCall::Look);
        let key = self.key.clone();
        actions.push(LeaseAction::Call(StoreCall::Get { key }));
    }

    fn take(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        let before = self.seen.as_ref().map(|seen| seen.record.fencing_number);
        let before = self.highest.max(before.unwrap_or_default());
        let before = before.max(self.lowest_of_era());
        let record = LeaseRecord {
            holder: Some(self.name.clone()),
            incarnation: self.incarnation,
            fencing_number: before.next(),
            renewal: 0,
        };
        self.write(record, now, actions);
    }

    fn renew_or_resign(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        let Some(seen) = &self.seen else {
            return;
        };
        let mut record = seen.record.clone();
        record.renewal += 1;
        if !self.candidate {
            record.holder = None;
            self.lose(actions);
        }
        self.write(record, now, actions);
    }

    fn write(&mut self, record: LeaseRecord, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        let precondition = match &self.seen {
            Some(seen) => Precondition::Version(seen.version),
            None => Precondition::Absent,
        };
        self.next_call_at = now.after(self.settings.renew_interval);
        self.open = Some(OpenCall::Write {
            record: record.clone(),
            sent_at: now,
        });
        actions.push(LeaseAction::Call(StoreCall::Put {
            key: self.key.clone(),
            value: StoreValue::Lease(record),
            precondition,
        }));
    }

    fn answered(&mut self, answer: StoreAnswer, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        match self.open.take() {
            Some(OpenCall::Look) => self.looked(answer, now, actions),
            Some(OpenCall::Write { record, sent_at }) => {
                self.wrote(record, sent_at, &answer, now, actions);
            }
            None => {}
        }
    }

    fn looked(&mut self, answer: StoreAnswer, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        match answer {
            StoreAnswer::Found(StoredObject {
                version,
                value: StoreValue::Lease(record),
                ..
            }) => self.note_seen(record, version, now, actions),
            StoreAnswer::NotFound if self.seen.is_none() || self.is_history_lost(now) => {
                self.note_first_record(None, now);
                self.forget_history();
                let is_vacant = self.held.is_none() && !self.is_restored_lately(now);
                if self.candidate && (is_vacant || self.must_retake) {
                    self.take(now, actions);
                }
            }
            _ => {}
        }
    }

    /// Takes note of a read that shows an older state than seen; `true` once there were no others
    /// for longer than a lease lasts. The object was removed then, or the store was restored, and
    /// nobody can have renewed the lease meanwhile. If such reads are only stale, a write fails.
    fn is_history_lost(&mut self, now: Timestamp) -> bool {
        let max_gap = self.settings.look_interval * MAX_LOOKS_BETWEEN;
        let known = self.reads_behind;
        let known = known.filter(|(_, last)| now.since(*last) <= max_gap);
        let since = known.map_or(now, |(since, _)| since);
        self.reads_behind = Some((since, now));
        now >= since.after(self.settings.duration + self.settings.takeover_margin)
    }

    fn forget_history(&mut self) {
        if let Some(seen) = self.seen.take() {
            self.highest = self.highest.max(seen.record.fencing_number);
        }
        self.uncertain = None;
        self.reads_behind = None;
    }

    fn note_seen(
        &mut self,
        record: LeaseRecord,
        version: StoreVersion,
        now: Timestamp,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.note_era(version.era(), now);
        self.note_first_record(Some(&record), now);
        let is_behind = |seen: &SeenLease| version < seen.version;
        if self.seen.as_ref().is_some_and(is_behind) {
            // A stale read says nothing new.
            if !self.is_history_lost(now) {
                return;
            }
            self.forget_history();
        }
        self.reads_behind = None;
        let known = self.seen.as_ref().map(|seen| seen.version);
        if known != Some(version) {
            self.seen = Some(SeenLease {
                record: record.clone(),
                version,
                seen_at: now,
            });
        }
        let Some((written, sent_at)) = self.uncertain.take() else {
            return;
        };
        if written == record {
            self.hold(&written, sent_at, now, actions);
        } else if known != Some(version) && self.held.is_some() {
            // Another write won.
            self.lose(actions);
        }
    }

    fn wrote(
        &mut self,
        record: LeaseRecord,
        sent_at: Timestamp,
        answer: &StoreAnswer,
        now: Timestamp,
        actions: &mut Vec<LeaseAction>,
    ) {
        match answer {
            StoreAnswer::Written { version } => {
                self.note_era(version.era(), now);
                self.seen = Some(SeenLease {
                    record: record.clone(),
                    version: *version,
                    seen_at: now,
                });
                // Otherwise it was sent before the store came back, and its number may be given out again.
                if self.restored_at.is_none() || record.fencing_number > self.lowest_of_era() {
                    self.hold(&record, sent_at, now, actions);
                }
            }
            // The version that conflicts may be an earlier write of this process whose answer was
            // lost; a look tells.
            _ => {
                self.uncertain = Some((record, sent_at));
                self.next_call_at = now;
                if matches!(answer, StoreAnswer::Failed(_)) {
                    self.next_call_at = now.after(self.settings.look_interval / 4);
                }
            }
        }
    }

    fn hold(
        &mut self,
        record: &LeaseRecord,
        sent_at: Timestamp,
        now: Timestamp,
        actions: &mut Vec<LeaseAction>,
    ) {
        let is_own = record.holder.as_ref() == Some(&self.name);
        let held = HeldLease {
            fencing_number: record.fencing_number,
            valid_until: sent_at.after(self.settings.duration),
        };
        if is_own && held.is_valid(now) {
            self.must_retake = false;
            self.held = Some(held);
            actions.push(LeaseAction::Changed(Some(held)));
        }
    }
}
