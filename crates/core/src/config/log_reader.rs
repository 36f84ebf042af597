//! Reads the change log from the object API.

use std::sync::Arc;
use std::time::Duration;

use crate::control::{
    ControlAction, ObjectKey, ObjectPrefix, Outbox, StoreAnswer, StoreCall, StoreOwner,
    StoreRequestId, StoreRevision, StoreValue, StoredObject, WatchEvent,
};
use crate::identity::ConfigVersion;
use crate::timestamp::Timestamp;

use super::{Appended, ConfigReplica, LogEntry, ReaderStage};

/// Reads the change log from the object API while this node is one of the few elected readers.
///
/// The watch may have gaps and a list may be stale, so a reader also asks for the next entry by
/// its key now and then. A watch may also fall silent without breaking; one that did not tell of
/// an entry that is known otherwise is opened again, see
/// `docs/incidents/silent-connections-node.md`.
#[derive(Debug, Default)]
pub struct LogReader {
    stage: ReaderStage,
    catching_up: Option<StoreRequestId>,
    check_at: Timestamp,
    listed_once: bool,
    has_no_snapshot: bool,
    /// The revision from which a watch would tell what this one has not told yet.
    untold_from: StoreRevision,
    /// The newest entry that the watch has told of, or that was known when it was opened.
    told: ConfigVersion,
    /// The newest entry that was asked for by its key and found.
    found: ConfigVersion,
    /// The version at the last check: the watch has had a whole interval to tell of it.
    known: ConfigVersion,
}

impl LogReader {
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    const CROWDED_RETRY_AFTER: Duration = Duration::from_secs(10);
    const CHECK_EVERY: Duration = Duration::from_secs(10);

    /// Whether this node reads the log now.
    pub fn is_active(&self) -> bool {
        self.stage != ReaderStage::Idle
    }

    /// Whether the object API has shown the log, even an empty one.
    pub fn has_listed(&self) -> bool {
        self.listed_once
    }

    /// Starts or stops reading.
    pub fn set_active(&mut self, active: bool, outbox: &mut Outbox) {
        if active == self.is_active() {
            return;
        }
        if active {
            self.list(outbox);
        } else {
            self.stage = ReaderStage::Idle;
            self.catching_up = None;
            let prefix = ObjectPrefix::ConfigLog;
            outbox.push(ControlAction::StopWatch { prefix });
        }
    }

    /// Takes an answer of the object API.
    pub fn store_answered(
        &mut self,
        request: StoreRequestId,
        answer: StoreAnswer,
        replica: &mut ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if self.catching_up == Some(request) {
            self.caught_up(answer, replica, now, outbox);
            return;
        }
        match self.stage {
            ReaderStage::Listing(expected) if expected == request => {
                self.listed(answer, replica, now, outbox);
            }
            ReaderStage::Loading(expected) if expected == request => {
                self.loaded(answer, replica, now, outbox);
            }
            _ => {}
        }
    }

    /// Takes an event of the watch.
    pub fn watch(
        &mut self,
        event: WatchEvent,
        replica: &mut ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if self.stage != ReaderStage::Watching {
            return;
        }
        match event {
            WatchEvent::Written { revision, object } => {
                self.untold_from = after(revision);
                if let StoreValue::ConfigEntry(entry) = object.value {
                    self.told = self.told.max(entry.version);
                    if replica.append(&entry) == Appended::Gap {
                        self.catch_up(replica, outbox);
                    }
                }
            }
            WatchEvent::Deleted { revision, .. } => self.untold_from = after(revision),
            WatchEvent::Compacted { .. } => self.list(outbox),
            WatchEvent::Broken { .. } => self.retry(now.after(Self::RETRY_AFTER)),
            WatchEvent::TooManyReaders { .. } => self.retry(now.after(Self::CROWDED_RETRY_AFTER)),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, replica: &ConfigReplica, now: Timestamp, outbox: &mut Outbox) {
        match self.stage {
            ReaderStage::Retrying { at } if now >= at => self.list(outbox),
            ReaderStage::Watching if now >= self.check_at => {
                self.check_at = now.after(Self::CHECK_EVERY);
                if self.told < self.known {
                    self.open_watch(replica, outbox);
                }
                self.known = replica.version();
                self.catch_up(replica, outbox);
            }
            _ => {}
        }
    }

    fn list(&mut self, outbox: &mut Outbox) {
        let prefix = ObjectPrefix::ConfigLog;
        let request = outbox.store(StoreOwner::LogReader, StoreCall::List { prefix });
        self.stage = ReaderStage::Listing(request);
    }

    fn listed(
        &mut self,
        answer: StoreAnswer,
        replica: &mut ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let StoreAnswer::Listed { revision, objects } = answer else {
            self.retry(now.after(retry_after(&answer)));
            return;
        };
        let has_gap = append_all(objects, replica) == Appended::Gap;
        let is_empty = replica.version() == ConfigVersion::default();
        if has_gap || (is_empty && !self.has_no_snapshot) {
            self.load(outbox);
            return;
        }
        self.listed_once = true;
        self.check_at = now.after(Self::CHECK_EVERY);
        self.stage = ReaderStage::Watching;
        self.untold_from = after(revision);
        self.open_watch(replica, outbox);
    }

    /// Opens the watch, in place of the one before.
    fn open_watch(&mut self, replica: &ConfigReplica, outbox: &mut Outbox) {
        self.told = replica.version();
        self.known = self.told;
        outbox.push(ControlAction::StartWatch {
            prefix: ObjectPrefix::ConfigLog,
            from: self.untold_from,
        });
    }

    fn load(&mut self, outbox: &mut Outbox) {
        let key = ObjectKey::ConfigSnapshot;
        let request = outbox.store(StoreOwner::LogReader, StoreCall::Get { key });
        self.stage = ReaderStage::Loading(request);
    }

    fn loaded(
        &mut self,
        answer: StoreAnswer,
        replica: &mut ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if matches!(answer, StoreAnswer::NotFound) && !self.has_no_snapshot {
            self.has_no_snapshot = true;
            self.list(outbox);
            return;
        }
        if let StoreAnswer::Found(object) = answer
            && let StoreValue::ConfigSnapshot(checkpoint) = object.value
            && replica.adopt(&checkpoint)
        {
            self.list(outbox);
            return;
        }
        self.retry(now.after(Self::RETRY_AFTER));
    }

    fn catch_up(&mut self, replica: &ConfigReplica, outbox: &mut Outbox) {
        let key = ObjectKey::ConfigLog(replica.version().next());
        self.catching_up = Some(outbox.store(StoreOwner::LogReader, StoreCall::Get { key }));
    }

    fn caught_up(
        &mut self,
        answer: StoreAnswer,
        replica: &mut ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.catching_up = None;
        match answer {
            StoreAnswer::Found(object) => {
                if let StoreValue::ConfigEntry(entry) = object.value {
                    replica.append(&entry);
                    self.found = entry.version;
                    self.catch_up(replica, outbox);
                    return;
                }
            }
            // Whether the watch is behind is not known, so the check is still due.
            StoreAnswer::Failed(_) => self.check_at = now.after(retry_after(&answer)),
            _ => {}
        }
        if self.stage == ReaderStage::Watching && self.told < self.found {
            self.open_watch(replica, outbox);
        }
    }

    fn retry(&mut self, at: Timestamp) {
        self.stage = ReaderStage::Retrying { at };
    }
}

fn after(revision: StoreRevision) -> StoreRevision {
    StoreRevision(revision.0 + 1)
}

fn retry_after(answer: &StoreAnswer) -> Duration {
    use crate::control::StoreFailure::TooManyReaders;
    match answer {
        StoreAnswer::Failed(TooManyReaders) => LogReader::CROWDED_RETRY_AFTER,
        _ => LogReader::RETRY_AFTER,
    }
}

/// Appends listed entries in order of version; says whether some are missing.
fn append_all(objects: Vec<StoredObject>, replica: &mut ConfigReplica) -> Appended {
    let mut entries: Vec<Arc<LogEntry>> = objects
        .into_iter()
        .filter_map(|object| match object.value {
            StoreValue::ConfigEntry(entry) => Some(entry),
            _ => None,
        })
        .collect();
    entries.sort_by_key(|entry| entry.version);
    let gap = entries
        .iter()
        .any(|entry| replica.append(entry) == Appended::Gap);
    if gap {
        Appended::Gap
    } else {
        Appended::Applied
    }
}
