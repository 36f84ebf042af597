//! Candidates for a lease before a store that misbehaves.
#![allow(dead_code)] // Each test file uses its own part.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::control::{
    ObjectKey, Precondition, StoreAnswer, StoreCall, StoreFailure, StoreValue, StoreVersion,
    StoredObject,
};
use ryerouter_core::identity::{FencingNumber, Incarnation, NodeName};
use ryerouter_core::order::{LeaseAction, LeaseEvent, LeaseHolder, LeaseRecord, LeaseSettings};

const STEP: Duration = Duration::from_millis(100);
const START: Timestamp = Timestamp::from_millis(1_000_000);

#[derive(Debug, Clone, Copy)]
pub enum StoreMode {
    Up,
    Down,
    /// One in so many answers to writes is lost after the write took effect.
    AnswersLost {
        every: u64,
    },
    /// Every second read shows the object as it was one write ago.
    StaleReads,
    /// Every read shows the object as it was one write ago.
    LaggingReads,
}

struct Candidate {
    holder: LeaseHolder,
    incarnation: u64,
    alive: bool,
    paused: bool,
    call: Option<StoreCall>,
}

pub struct LeaseBench {
    candidates: Vec<Candidate>,
    object: Option<(StoreVersion, LeaseRecord)>,
    /// What the store held after each write, with the number of writes of its era by then.
    past: Vec<(u64, Option<(StoreVersion, LeaseRecord)>)>,
    era: u64,
    before: Option<(StoreVersion, LeaseRecord)>,
    mode: StoreMode,
    writes: u64,
    reads: u64,
    incarnations: u64,
    /// Who held the lease under each number.
    held_by: BTreeMap<FencingNumber, BTreeSet<(usize, u64)>>,
    overlaps: usize,
    now: Timestamp,
}

impl LeaseBench {
    pub fn new(candidates: usize) -> Self {
        let mut bench = Self {
            candidates: Vec::new(),
            object: None,
            past: vec![(0, None)],
            era: 0,
            before: None,
            mode: StoreMode::Up,
            writes: 0,
            reads: 0,
            incarnations: 0,
            held_by: BTreeMap::new(),
            overlaps: 0,
            now: START,
        };
        for index in 0..candidates {
            let candidate = bench.started(index);
            bench.candidates.push(candidate);
        }
        bench
    }

    fn started(&mut self, index: usize) -> Candidate {
        self.incarnations += 1;
        let name = NodeName::new(format!("node-{index}"));
        let incarnation = Incarnation(self.incarnations);
        let settings = LeaseSettings::default();
        let mut holder = LeaseHolder::new("director", name, incarnation, settings);
        holder.handle(LeaseEvent::Candidacy(true), START, &mut Vec::new());
        // The call of this first event is lost: as a store that did not answer would have it.
        let failure = StoreFailure::TooManyReaders;
        let answer = LeaseEvent::StoreAnswered(StoreAnswer::Failed(failure));
        holder.handle(answer, START, &mut Vec::new());
        Candidate {
            holder,
            incarnation: self.incarnations,
            alive: true,
            paused: false,
            call: None,
        }
    }

    pub fn store_mode(&mut self, mode: StoreMode) {
        self.mode = mode;
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(STEP);
            for index in 0..self.candidates.len() {
                self.answer(index);
                self.event(index, LeaseEvent::Era(self.era));
                self.event(index, LeaseEvent::Tick);
            }
            self.overlaps += usize::from(self.holders() > 1);
        }
    }

    /// Runs until somebody holds the lease, and tells how long that took; `None` beyond `most`.
    pub fn until_held(&mut self, most: Duration) -> Option<Duration> {
        let begin = self.now;
        while self.now.since(begin) < most {
            self.run(STEP);
            if self.holders() > 0 {
                return Some(self.now.since(begin));
            }
        }
        None
    }

    /// Random pauses, deaths and restarts.
    pub fn trouble(&mut self, seed: u64, duration: Duration) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = self.now.after(duration);
        while self.now < end {
            self.run(Duration::from_millis(random.random_range(100..9_000)));
            let index = random.random_range(0..self.candidates.len());
            match random.random_range(0..5) {
                0 => self.pause(index),
                1 => self.candidates[index] = self.started(index),
                _ => self.resume(index),
            }
        }
    }

    /// The object is removed from the store.
    pub fn remove_object(&mut self) {
        self.object = None;
    }

    /// The store is restored as it was earlier, after half as many writes, and counts them again.
    pub fn restore(&mut self, record: LeaseRecord) {
        self.writes /= 2;
        self.object = Some((StoreVersion(self.writes), record));
    }

    /// The store tells eras.
    pub fn begin_eras(&mut self) {
        self.era = 1;
    }

    /// The store is back from a copy that lacks the last writes, in another era.
    pub fn return_without_last_writes(&mut self, lost: usize) {
        self.era += 1;
        let kept = self.past.len().saturating_sub(lost).max(1);
        self.past.truncate(kept);
        let (writes, object) = self.past.last().cloned().expect("a first state");
        self.writes = writes;
        // Revisions stay, and belong to the new era.
        self.object = object
            .map(|(version, record)| (StoreVersion::in_era(self.era, version.revision()), record));
        self.before = None;
    }

    /// How often two processes that run held the lease at the same time.
    pub fn overlaps(&self) -> usize {
        self.overlaps
    }

    /// What the store holds.
    pub fn record(&self) -> Option<LeaseRecord> {
        self.object.as_ref().map(|(_, record)| record.clone())
    }

    pub fn kill(&mut self, index: usize) {
        self.candidates[index].alive = false;
    }

    /// All processes end and start again at once.
    pub fn restart_all(&mut self) {
        for index in 0..self.candidates.len() {
            self.candidates[index] = self.started(index);
        }
    }

    pub fn pause(&mut self, index: usize) {
        self.candidates[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.candidates[index].paused = false;
    }

    pub fn resign(&mut self, index: usize) {
        self.event(index, LeaseEvent::Candidacy(false));
    }

    pub fn holds(&self, index: usize) -> bool {
        let candidate = &self.candidates[index];
        candidate.alive && !candidate.paused && candidate.holder.held(self.now).is_some()
    }

    pub fn holders(&self) -> usize {
        (0..self.candidates.len())
            .filter(|index| self.holds(*index))
            .count()
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.candidates.len()).find(|index| self.holds(*index))
    }

    pub fn highest(&self) -> FencingNumber {
        self.held_by.keys().max().copied().unwrap_or_default()
    }

    /// Numbers under which more than one process held the lease.
    pub fn shared_numbers(&self) -> usize {
        self.held_by
            .values()
            .filter(|holders| holders.len() > 1)
            .count()
    }

    fn event(&mut self, index: usize, event: LeaseEvent) {
        let candidate = &mut self.candidates[index];
        if !candidate.alive || candidate.paused {
            return;
        }
        let mut actions = Vec::new();
        candidate.holder.handle(event, self.now, &mut actions);
        for action in actions {
            if let LeaseAction::Call(call) = action {
                let open = candidate.call.replace(call);
                assert!(open.is_none(), "one call at a time");
            }
        }
        if let Some(held) = candidate.holder.held(self.now) {
            let holders = self.held_by.entry(held.fencing_number).or_default();
            holders.insert((index, candidate.incarnation));
        }
    }

    /// The store carries out a call even if its caller is paused or dead by then.
    fn answer(&mut self, index: usize) {
        if self.candidates[index].paused {
            return;
        }
        if let Some(call) = self.candidates[index].call.take() {
            let answer = self.carry_out(call);
            self.event(index, LeaseEvent::StoreAnswered(answer));
        }
    }

    fn carry_out(&mut self, call: StoreCall) -> StoreAnswer {
        if matches!(self.mode, StoreMode::Down) {
            return failed();
        }
        match call {
            StoreCall::Get { key } => self.read(key),
            StoreCall::Put {
                value: StoreValue::Lease(record),
                precondition,
                ..
            } => self.write(record, precondition),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn read(&mut self, key: ObjectKey) -> StoreAnswer {
        self.reads += 1;
        let shown = match self.mode {
            StoreMode::LaggingReads => &self.before,
            StoreMode::StaleReads if self.reads.is_multiple_of(2) => &self.before,
            _ => &self.object,
        };
        match shown.clone() {
            Some((version, record)) => StoreAnswer::Found(StoredObject {
                key,
                version,
                value: StoreValue::Lease(record),
            }),
            None => StoreAnswer::NotFound,
        }
    }

    fn write(&mut self, record: LeaseRecord, precondition: Precondition) -> StoreAnswer {
        let current = self.object.as_ref().map(|(version, _)| *version);
        let matches = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !matches {
            return StoreAnswer::Conflict { version: current };
        }
        self.writes += 1;
        let version = StoreVersion::in_era(self.era, self.writes);
        self.before = self.object.replace((version, record));
        self.past.push((self.writes, self.object.clone()));
        match self.mode {
            StoreMode::AnswersLost { every } if self.writes.is_multiple_of(every) => failed(),
            _ => StoreAnswer::Written { version },
        }
    }
}

fn failed() -> StoreAnswer {
    StoreAnswer::Failed(StoreFailure::Unavailable {
        detail: "no answer".to_owned(),
    })
}
