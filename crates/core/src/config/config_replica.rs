//! A node's copy of the configuration.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identity::{ChangeId, ConfigVersion, ResourceVersion};

use super::{
    Appended, Checkpoint, LogEntry, Mutation, RecentChange, ReplicaEntry, ResourceReference,
};

/// A node's copy of the configuration.
///
/// Its version only rises: an entry is applied only when it follows the version in force, and a
/// checkpoint only when it is newer.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    catalog: Arc<Catalog>,
    recent: VecDeque<RecentChange>,
    entries: VecDeque<ReplicaEntry>,
}

impl ConfigReplica {
    /// How many accepted changes are remembered by id.
    pub const RECENT_CHANGES: usize = 1_024;
    /// How many log entries are kept for peers that are a little behind.
    pub const KEPT_ENTRIES: usize = 256;

    /// The version in force.
    pub fn version(&self) -> ConfigVersion {
        self.catalog.version
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Takes a log entry into force if it is the next one.
    pub fn append(&mut self, entry: &Arc<LogEntry>) -> Appended {
        if entry.version <= self.version() {
            return Appended::Old;
        }
        if entry.version != self.version().next() {
            return Appended::Gap;
        }
        entry.apply_to(Arc::make_mut(&mut self.catalog));
        self.remember(entry);
        Appended::Applied
    }

    /// Takes a checkpoint into force if it is newer; says whether it was.
    pub fn adopt(&mut self, checkpoint: &Checkpoint) -> bool {
        if checkpoint.catalog.version <= self.version() {
            return false;
        }
        self.catalog = Arc::new(checkpoint.catalog.clone());
        self.recent = checkpoint.recent.iter().cloned().collect();
        self.entries.clear();
        true
    }

    /// The whole configuration for a peer or for the object API.
    pub fn checkpoint(&self) -> Checkpoint {
        Checkpoint {
            catalog: (*self.catalog).clone(),
            recent: self.recent.iter().cloned().collect(),
        }
    }

    /// All entries after `version` in order, or `None` when some of them are not kept any more.
    pub fn entries_after(&self, version: ConfigVersion) -> Option<Vec<&ReplicaEntry>> {
        let missing = self.version().0.saturating_sub(version.0) as usize;
        let first = self.entries.len().checked_sub(missing)?;
        Some(self.entries.range(first..).collect())
    }

    /// The recent change with this id.
    pub fn recent_change(&self, change_id: &ChangeId) -> Option<&RecentChange> {
        self.recent
            .iter()
            .rev()
            .find(|change| change.change_id == *change_id)
    }

    /// The recent change that made this resource version.
    pub fn change_at(&self, version: ResourceVersion) -> Option<&RecentChange> {
        self.recent
            .iter()
            .rev()
            .find(|change| change.version.0 == version.0)
    }

    /// The latest kept change that deleted a resource.
    pub fn deletion_of(&self, reference: &ResourceReference) -> Option<RecentChange> {
        let deleted = |mutation: &Mutation| match mutation {
            Mutation::Delete {
                reference: gone, ..
            } => gone == reference,
            Mutation::Put { .. } => false,
        };
        self.entries
            .iter()
            .rev()
            .find(|kept| kept.entry.change.mutations.iter().any(deleted))
            .map(|kept| RecentChange::of(&kept.entry))
    }

    /// The kept entry of this version.
    pub fn entry_at(&self, version: ConfigVersion) -> Option<&Arc<LogEntry>> {
        self.entries
            .iter()
            .rev()
            .map(|kept| &kept.entry)
            .find(|entry| entry.version == version)
    }

    fn remember(&mut self, entry: &Arc<LogEntry>) {
        self.recent.push_back(RecentChange::of(entry));
        self.entries.push_back(ReplicaEntry {
            entry: Arc::clone(entry),
            encoded_length: entry.encoded_length(),
        });
        while self.recent.len() > Self::RECENT_CHANGES {
            self.recent.pop_front();
        }
        while self.entries.len() > Self::KEPT_ENTRIES {
            self.entries.pop_front();
        }
    }
}
