//! Accepted changes as operators watch them.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use ryerouter_core::config::{ConfigReplica, LogEntry};
use ryerouter_core::identity::{ChangeId, ConfigVersion};
use tokio::sync::watch;

/// The latest accepted changes, kept for operators who watch.
///
/// Written by the control thread alone; a reader that falls behind what is kept is told so and
/// never skips a change unseen.
#[derive(Debug, Clone)]
pub struct ChangeLog {
    kept: Arc<Mutex<KeptChanges>>,
    versions: Arc<watch::Sender<ConfigVersion>>,
}

/// Invariant: `entries` hold consecutive versions, the last of which is `version`.
#[derive(Debug, Default)]
struct KeptChanges {
    version: ConfigVersion,
    entries: VecDeque<Arc<LogEntry>>,
}

impl ChangeLog {
    /// Changes kept at most.
    pub const CAPACITY: usize = ConfigReplica::KEPT_ENTRIES;

    pub(super) fn new() -> Self {
        Self {
            kept: Arc::default(),
            versions: Arc::new(watch::Sender::new(ConfigVersion(0))),
        }
    }

    /// Takes over what the node's copy of the configuration has gained.
    pub(super) fn follow(&self, replica: &ConfigReplica) {
        let version = replica.version();
        let mut kept = self.kept.lock();
        if version == kept.version {
            return;
        }
        match replica.entries_after(kept.version) {
            Some(entries) => {
                let entries = entries.into_iter().map(|kept| Arc::clone(&kept.entry));
                kept.entries.extend(entries);
            }
            None => kept.entries.clear(),
        }
        while kept.entries.len() > Self::CAPACITY {
            kept.entries.pop_front();
        }
        kept.version = version;
        drop(kept);
        self.versions.send_replace(version);
    }

    /// All changes after `version`, or `None` when some of them are not kept any more.
    pub fn after(&self, version: ConfigVersion) -> Option<Vec<Arc<LogEntry>>> {
        let kept = self.kept.lock();
        let missing = usize::try_from(kept.version.0.saturating_sub(version.0)).ok()?;
        let first = kept.entries.len().checked_sub(missing)?;
        Some(kept.entries.range(first..).cloned().collect())
    }

    /// The kept change with this id.
    pub fn find(&self, change_id: &ChangeId) -> Option<Arc<LogEntry>> {
        let kept = self.kept.lock();
        let mut newest_first = kept.entries.iter().rev();
        let found = newest_first.find(|entry| entry.change.change_id == *change_id);
        found.cloned()
    }

    /// Versions as they come into force.
    pub fn versions(&self) -> watch::Receiver<ConfigVersion> {
        self.versions.subscribe()
    }
}
