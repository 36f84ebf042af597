//! Back ends that are leaving.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::{BackEnd, BackEndState, Catalog};
use crate::control::{MachineEntry, MachineState};
use crate::identity::{BackEndName, Incarnation};
use crate::membership::{LeavingRecord, MachineRecord};
use crate::timestamp::Timestamp;

/// Back ends that are leaving by their own word or by the machine list, as far as any node has
/// told. Both tables merge in any order to the same result.
#[derive(Debug, Default)]
pub struct LeavingRegister {
    back_ends: BTreeMap<BackEndName, LeavingRecord>,
    machines: BTreeMap<SocketAddr, MachineRecord>,
    listed: BTreeMap<SocketAddr, MachineState>,
    serving: BTreeMap<BackEndName, Incarnation>,
}

impl LeavingRegister {
    /// This node saw a back end say which process it is and whether it leaves; gives what others
    /// must be told.
    pub fn observe(
        &mut self,
        back_end: BackEndName,
        incarnation: Incarnation,
        leaving: bool,
    ) -> Option<LeavingRecord> {
        let record = LeavingRecord {
            back_end,
            incarnation,
            leaving,
        };
        if !leaving {
            self.note_serving(&record);
            if !self.back_ends.contains_key(&record.back_end) {
                return None;
            }
        }
        self.merge(record)
    }

    /// Takes a record; gives what others must be told: the record when it is new, or what this
    /// node has seen itself of a newer process.
    pub fn merge(&mut self, record: LeavingRecord) -> Option<LeavingRecord> {
        let record = self.correct(record);
        let known = self.back_ends.get(&record.back_end);
        if known.is_some_and(|known| !record.supersedes(known)) {
            return None;
        }
        self.back_ends
            .insert(record.back_end.clone(), record.clone());
        Some(record)
    }

    /// Takes a machine record; gives it when it is new.
    pub fn merge_machine(&mut self, record: MachineRecord) -> Option<MachineRecord> {
        let known = self.machines.get(&record.address);
        if known.is_some_and(|known| !record.supersedes(known)) {
            return None;
        }
        self.machines.insert(record.address, record);
        Some(record)
    }

    /// Takes a reading of the machine list; gives what others must be told.
    pub fn read_machines(
        &mut self,
        entries: &[MachineEntry],
        now: Timestamp,
    ) -> Vec<MachineRecord> {
        let mut news = Vec::new();
        for entry in entries {
            let before = self.listed.insert(entry.address, entry.state);
            let changed = before.unwrap_or(MachineState::Live) != entry.state;
            if changed {
                news.extend(self.merge_machine(MachineRecord {
                    address: entry.address,
                    seen_at: now,
                    leaving: entry.state == MachineState::Leaving,
                }));
            }
        }
        news
    }

    /// Whether a back end takes no new work.
    pub fn is_leaving(&self, back_end: &BackEnd) -> bool {
        let by_own_word = || self.back_ends.get(&back_end.name);
        let by_machine_list = || self.machines.get(&back_end.address);
        back_end.state == BackEndState::Draining
            || by_own_word().is_some_and(|record| record.leaving)
            || by_machine_list().is_some_and(|record| record.leaving)
    }

    /// Every back end that takes no new work: by operators, by its own word or by the machine list.
    pub fn leaving(&self, catalog: &Catalog) -> BTreeSet<BackEndName> {
        catalog
            .back_ends
            .values()
            .filter(|back_end| self.is_leaving(back_end))
            .map(|back_end| back_end.name.clone())
            .collect()
    }

    /// Drops records of back ends that the configuration does not have any more.
    pub fn forget_removed(&mut self, catalog: &Catalog) {
        self.back_ends
            .retain(|name, _| catalog.back_ends.contains_key(name));
        self.serving
            .retain(|name, _| catalog.back_ends.contains_key(name));
    }

    /// Hash of both tables.
    pub fn digest(&self) -> u32 {
        let back_ends = self.back_ends.values().map(|record| {
            let LeavingRecord {
                back_end,
                incarnation,
                leaving,
            } = record;
            hash(&format!("{back_end} {incarnation} {leaving}"))
        });
        let machines = self.machines.values().map(|record| {
            let MachineRecord {
                address,
                seen_at,
                leaving,
            } = record;
            hash(&format!("{address} {} {leaving}", seen_at.as_micros()))
        });
        back_ends.chain(machines).fold(0, |sum, next| sum ^ next)
    }

    /// All records of back ends.
    pub fn records(&self) -> Vec<LeavingRecord> {
        self.back_ends.values().cloned().collect()
    }

    /// All records of machines.
    pub fn machine_records(&self) -> Vec<MachineRecord> {
        self.machines.values().copied().collect()
    }

    fn note_serving(&mut self, record: &LeavingRecord) {
        let newest = self.serving.entry(record.back_end.clone()).or_default();
        *newest = record.incarnation.max(*newest);
    }

    /// A record about a process that this node knows to be replaced says so.
    fn correct(&self, record: LeavingRecord) -> LeavingRecord {
        match self.serving.get(&record.back_end) {
            Some(newest) if *newest > record.incarnation => LeavingRecord {
                incarnation: *newest,
                leaving: false,
                ..record
            },
            _ => record,
        }
    }
}

fn hash(text: &str) -> u32 {
    xxh3_64(text.as_bytes()) as u32
}
