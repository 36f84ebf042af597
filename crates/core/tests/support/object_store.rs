//! An object API for tests.

use std::collections::BTreeMap;

use ryerouter_core::control::{
    ObjectKey, ObjectPrefix, Precondition, StoreAnswer, StoreCall, StoreFailure, StoreRevision,
    StoreValue, StoreVersion, StoredObject, WatchEvent,
};

#[derive(Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, StoredObject>,
    history: Vec<(u64, StoredObject)>,
    revision: u64,
    /// Watches by node with the next revision each gets.
    pub watches: BTreeMap<usize, u64>,
    /// No call has an effect or an answer.
    pub down: bool,
    /// How many more writes take effect with their answer lost.
    pub lose_answers: u32,
    /// How many more writes are answered as failed and take effect only with `land_late_writes`.
    pub delay_writes: u32,
    late_writes: Vec<StoreCall>,
    /// Whether the API goes down together with the next lost or late write.
    pub fails_with_write: bool,
    /// How many of the latest revisions lists do not show.
    pub stale_by: u64,
    /// Whether watches skip events.
    pub watch_gaps: bool,
    /// Watches beyond this number are refused.
    pub max_watches: Option<usize>,
    /// The most watches there ever were at once.
    pub peak_watches: usize,
    /// Calls so far.
    pub calls: u64,
}

impl ObjectStore {
    pub fn call(&mut self, call: StoreCall) -> StoreAnswer {
        self.calls += 1;
        if self.down {
            return unavailable();
        }
        let is_write = matches!(call, StoreCall::Put { .. } | StoreCall::Delete { .. });
        if is_write && self.delay_writes > 0 {
            self.delay_writes -= 1;
            self.late_writes.push(call);
            self.down |= std::mem::take(&mut self.fails_with_write);
            return unavailable();
        }
        let answer = self.apply(call);
        if is_write && self.lose_answers > 0 {
            self.lose_answers -= 1;
            self.down |= std::mem::take(&mut self.fails_with_write);
            return unavailable();
        }
        answer
    }

    /// Writes that were delayed take effect now.
    pub fn land_late_writes(&mut self) {
        for call in std::mem::take(&mut self.late_writes) {
            self.apply(call);
        }
    }

    pub fn start_watch(&mut self, node: usize, from: u64) -> Option<WatchEvent> {
        let prefix = ObjectPrefix::ConfigLog;
        let is_full = self
            .max_watches
            .is_some_and(|max| self.watches.len() >= max);
        if is_full && !self.watches.contains_key(&node) {
            return Some(WatchEvent::TooManyReaders { prefix });
        }
        self.watches.insert(node, from);
        self.peak_watches = self.peak_watches.max(self.watches.len());
        None
    }

    pub fn stop_watch(&mut self, node: usize) {
        self.watches.remove(&node);
    }

    /// Ends every watch with a compaction, and gives the nodes that watched.
    pub fn compact_watches(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.watches).into_keys().collect()
    }

    pub fn pending_events(&mut self) -> Vec<(usize, WatchEvent)> {
        if self.down {
            return Vec::new();
        }
        let mut events = Vec::new();
        for (node, from) in &mut self.watches {
            for (revision, object) in &self.history {
                let is_shown = !self.watch_gaps || revision % 2 == 0;
                if revision >= from && is_shown {
                    events.push((
                        *node,
                        WatchEvent::Written {
                            revision: StoreRevision(*revision),
                            object: object.clone(),
                        },
                    ));
                }
            }
            *from = self.revision + 1;
        }
        events
    }

    pub fn log_length(&self) -> usize {
        self.objects
            .keys()
            .filter(|key| key.starts_with("config/log/"))
            .count()
    }

    /// Ids of the changes in the log, in order.
    pub fn logged_changes(&self) -> Vec<String> {
        self.objects
            .values()
            .filter_map(|object| match &object.value {
                StoreValue::ConfigEntry(entry) => Some(entry.change.change_id.to_string()),
                _ => None,
            })
            .collect()
    }

    pub fn has_snapshot(&self) -> bool {
        self.objects.contains_key("config/snapshot")
    }

    fn apply(&mut self, call: StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Get { key } => self.get(&key),
            StoreCall::List { prefix } => self.list(prefix),
            StoreCall::Put {
                key,
                value,
                precondition,
            } => self.put(key, value, precondition),
            StoreCall::Delete { key, version } => self.delete(&key, version),
        }
    }

    fn get(&self, key: &ObjectKey) -> StoreAnswer {
        self.objects
            .get(&key.to_string())
            .cloned()
            .map_or(StoreAnswer::NotFound, StoreAnswer::Found)
    }

    fn list(&self, prefix: ObjectPrefix) -> StoreAnswer {
        let shown = self.revision.saturating_sub(self.stale_by);
        let is_shown = |object: &&StoredObject| {
            self.history
                .iter()
                .any(|(revision, past)| past.key == object.key && *revision <= shown)
        };
        let objects = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix.to_string()))
            .map(|(_, object)| object)
            .filter(is_shown)
            .cloned()
            .collect();
        StoreAnswer::Listed {
            revision: StoreRevision(shown),
            objects,
        }
    }

    fn put(&mut self, key: ObjectKey, value: StoreValue, condition: Precondition) -> StoreAnswer {
        let current = self
            .objects
            .get(&key.to_string())
            .map(|found| found.version);
        let holds = match condition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !holds {
            return StoreAnswer::Conflict { version: current };
        }
        let version = StoreVersion(current.map_or(1, |version| version.0 + 1));
        let object = StoredObject {
            key: key.clone(),
            version,
            value,
        };
        self.revision += 1;
        self.history.push((self.revision, object.clone()));
        self.objects.insert(key.to_string(), object);
        StoreAnswer::Written { version }
    }

    fn delete(&mut self, key: &ObjectKey, version: StoreVersion) -> StoreAnswer {
        match self.objects.get(&key.to_string()) {
            None => StoreAnswer::NotFound,
            Some(object) if object.version != version => StoreAnswer::Conflict {
                version: Some(object.version),
            },
            Some(_) => {
                self.objects.remove(&key.to_string());
                self.revision += 1;
                StoreAnswer::Deleted
            }
        }
    }
}

pub fn unavailable() -> StoreAnswer {
    StoreAnswer::Failed(StoreFailure::Unavailable {
        detail: "no answer in time".to_owned(),
    })
}
