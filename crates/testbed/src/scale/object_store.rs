//! The object API of a run at scale.

use std::collections::BTreeMap;

use ryerouter_core::config::Checkpoint;
use ryerouter_core::control::{
    ObjectKey, ObjectPrefix, Precondition, StoreAnswer, StoreCall, StoreRevision, StoreValue,
    StoreVersion, StoredObject, WatchEvent,
};

use super::process::Process;

/// The object API of a run at scale; it does not fail.
#[derive(Debug)]
pub struct ObjectStore {
    objects: BTreeMap<ObjectKey, StoredObject>,
    revision: u64,
    watchers: Vec<Process>,
    calls: u64,
    peak_watchers: usize,
}

impl ObjectStore {
    /// A store that holds a configuration.
    pub fn with(checkpoint: Checkpoint) -> Self {
        let mut store = Self {
            objects: BTreeMap::new(),
            revision: 0,
            watchers: Vec::new(),
            calls: 0,
            peak_watchers: 0,
        };
        let value = StoreValue::ConfigSnapshot(checkpoint.into());
        store.put(ObjectKey::ConfigSnapshot, value, Precondition::Absent);
        store
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Most watches at once.
    pub fn peak_watchers(&self) -> usize {
        self.peak_watchers
    }

    /// Adds a watch.
    pub fn watch(&mut self, process: Process) {
        self.end_watch(process.node);
        self.watchers.push(process);
        self.peak_watchers = self.peak_watchers.max(self.watchers.len());
    }

    /// Ends the watch of a node.
    pub fn end_watch(&mut self, node: usize) {
        self.watchers.retain(|watcher| watcher.node != node);
    }

    /// Takes a call; gives its answer and what watchers see.
    pub fn call(&mut self, call: StoreCall) -> (StoreAnswer, Vec<(Process, WatchEvent)>) {
        self.calls += 1;
        match call {
            StoreCall::Get { key } => {
                let found = self.objects.get(&key).cloned();
                let answer = found.map_or(StoreAnswer::NotFound, StoreAnswer::Found);
                (answer, Vec::new())
            }
            StoreCall::List { prefix } => (self.list(prefix), Vec::new()),
            StoreCall::Put {
                key,
                value,
                precondition,
            } => self.write(key, value, precondition),
            StoreCall::Delete { key, .. } => {
                self.objects.remove(&key);
                (StoreAnswer::Deleted, Vec::new())
            }
        }
    }

    fn list(&self, prefix: ObjectPrefix) -> StoreAnswer {
        let prefix = prefix.to_string();
        let objects = self
            .objects
            .values()
            .filter(|object| object.key.to_string().starts_with(&prefix))
            .cloned()
            .collect();
        StoreAnswer::Listed {
            revision: StoreRevision(self.revision),
            objects,
        }
    }

    fn write(
        &mut self,
        key: ObjectKey,
        value: StoreValue,
        precondition: Precondition,
    ) -> (StoreAnswer, Vec<(Process, WatchEvent)>) {
        let answer = self.put(key.clone(), value, precondition);
        let is_log = matches!(key, ObjectKey::ConfigLog(_));
        if !is_log || !matches!(answer, StoreAnswer::Written { .. }) {
            return (answer, Vec::new());
        }
        let object = self.objects[&key].clone();
        let event = WatchEvent::Written {
            revision: StoreRevision(self.revision),
            object,
        };
        let seen = self
            .watchers
            .iter()
            .map(|watcher| (*watcher, event.clone()))
            .collect();
        (answer, seen)
    }

    fn put(&mut self, key: ObjectKey, value: StoreValue, condition: Precondition) -> StoreAnswer {
        let current = self.objects.get(&key).map(|object| object.version);
        let holds = match condition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !holds {
            return StoreAnswer::Conflict { version: current };
        }
        self.revision += 1;
        let version = StoreVersion(current.map_or(1, |version| version.0 + 1));
        let object = StoredObject {
            key: key.clone(),
            version,
            value,
        };
        self.objects.insert(key, object);
        StoreAnswer::Written { version }
    }
}
