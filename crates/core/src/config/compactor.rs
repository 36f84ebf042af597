//! Keeps the log in the object API short.

use std::time::Duration;

use crate::control::{
    ObjectKey, ObjectPrefix, Outbox, Precondition, StoreAnswer, StoreCall, StoreOwner,
    StoreRequestId, StoreValue, StoreVersion, StoredObject,
};
use crate::identity::ConfigVersion;
use crate::timestamp::Timestamp;

use super::{CompactorStage, ConfigReplica, LogEntry};

/// Writes the snapshot now and then and deletes old log entries, on one node at a time.
///
/// Two nodes that both believe it is their turn do no harm: the snapshot is written by compare and
/// swap, only ever by a newer one, and deletions are idempotent.
#[derive(Debug, Default)]
pub struct Compactor {
    stage: CompactorStage,
    due_at: Timestamp,
    stored: ConfigVersion,
}

impl Compactor {
    /// Entries between two snapshots.
    pub const SNAPSHOT_EVERY: u64 = 256;
    /// Entries before the snapshot that stay readable.
    pub const KEPT_ENTRIES: u64 = 1_024;
    /// How long each entry stays readable. A node that pauses between its decision to write a slot
    /// and the write must not find that slot deleted, so this exceeds any pause.
    pub const KEPT_FOR: Duration = Duration::from_secs(6 * 3_600);
    const CHECK_EVERY: Duration = Duration::from_secs(60);

    /// Lets time pass on the node whose turn it is.
    pub fn tick(&mut self, replica: &ConfigReplica, now: Timestamp, outbox: &mut Outbox) {
        let is_needed = replica.version().0 >= self.stored.0 + Self::SNAPSHOT_EVERY;
        if now < self.due_at || !is_needed {
            return;
        }
        self.due_at = now.after(Self::CHECK_EVERY);
        let key = ObjectKey::ConfigSnapshot;
        let request = outbox.store(StoreOwner::Compactor, StoreCall::Get { key });
        self.stage = CompactorStage::Reading(request);
    }

    /// Takes an answer of the object API.
    pub fn store_answered(
        &mut self,
        request: StoreRequestId,
        answer: StoreAnswer,
        replica: &ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if self.stage.request() != Some(request) {
            return;
        }
        match std::mem::take(&mut self.stage) {
            CompactorStage::Reading(_) => self.read(answer, replica, outbox),
            CompactorStage::Writing { version, .. } => self.written(&answer, version, outbox),
            CompactorStage::Listing { version, .. } => self.listed(answer, version, now, outbox),
            CompactorStage::Deleting { rest, .. } => self.delete_next(rest, outbox),
            CompactorStage::Idle => {}
        }
    }

    fn read(&mut self, answer: StoreAnswer, replica: &ConfigReplica, outbox: &mut Outbox) {
        let (stored, precondition) = match answer {
            StoreAnswer::NotFound => (ConfigVersion::default(), Precondition::Absent),
            StoreAnswer::Found(object) => match object.value {
                StoreValue::ConfigSnapshot(checkpoint) => (
                    checkpoint.catalog.version,
                    Precondition::Version(object.version),
                ),
                _ => return,
            },
            _ => return,
        };
        self.stored = stored;
        let version = replica.version();
        if version.0 < stored.0 + Self::SNAPSHOT_EVERY {
            return;
        }
        let call = StoreCall::Put {
            key: ObjectKey::ConfigSnapshot,
            value: StoreValue::ConfigSnapshot(replica.checkpoint().into()),
            precondition,
        };
        let request = outbox.store(StoreOwner::Compactor, call);
        self.stage = CompactorStage::Writing { request, version };
    }

    fn written(&mut self, answer: &StoreAnswer, version: ConfigVersion, outbox: &mut Outbox) {
        if !matches!(answer, StoreAnswer::Written { .. }) {
            return;
        }
        self.stored = version;
        let prefix = ObjectPrefix::ConfigLog;
        let request = outbox.store(StoreOwner::Compactor, StoreCall::List { prefix });
        self.stage = CompactorStage::Listing { request, version };
    }

    fn listed(
        &mut self,
        answer: StoreAnswer,
        snapshot: ConfigVersion,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let StoreAnswer::Listed { objects, .. } = answer else {
            return;
        };
        let mut rest: Vec<(ObjectKey, StoreVersion)> = objects
            .into_iter()
            .filter(|object| is_old(object, snapshot, now))
            .map(|object| (object.key, object.version))
            .collect();
        // Deleted from the oldest on, so that what is left has no gaps.
        rest.sort_by(|left, right| right.0.cmp(&left.0));
        self.delete_next(rest, outbox);
    }

    fn delete_next(&mut self, mut rest: Vec<(ObjectKey, StoreVersion)>, outbox: &mut Outbox) {
        let Some((key, version)) = rest.pop() else {
            return;
        };
        let call = StoreCall::Delete { key, version };
        let request = outbox.store(StoreOwner::Compactor, call);
        self.stage = CompactorStage::Deleting { request, rest };
    }
}

fn is_old(object: &StoredObject, snapshot: ConfigVersion, now: Timestamp) -> bool {
    let StoreValue::ConfigEntry(entry) = &object.value else {
        return false;
    };
    is_far_behind(entry, snapshot) && now.since(entry.written_at) > Compactor::KEPT_FOR
}

fn is_far_behind(entry: &LogEntry, snapshot: ConfigVersion) -> bool {
    entry.version.0 + Compactor::KEPT_ENTRIES <= snapshot.0
}
