//! Contents of the object API.

use std::collections::{BTreeMap, VecDeque};

use serde_json::Value;

use super::{Change, Object, WriteCondition, WriteConflict};

/// Changes kept for watches by default.
const HISTORY: usize = 10_000;

/// Contents of the object API: objects, and the newest changes.
#[derive(Debug, Clone)]
pub struct ObjectStore {
    revision: u64,
    /// Newest revision whose change is forgotten; 0 while none is.
    compacted: u64,
    objects: BTreeMap<String, Object>,
    history: VecDeque<Change>,
}

impl Default for ObjectStore {
    fn default() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            objects: BTreeMap::new(),
            history: VecDeque::new(),
        }
    }
}

impl ObjectStore {
    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The object of a key.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Objects whose keys start with `prefix`, in key order.
    pub fn list(&self, prefix: &str) -> Vec<Object> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Writes an object and gives its new version.
    ///
    /// # Errors
    ///
    /// The condition does not hold.
    pub fn put(
        &mut self,
        key: &str,
        value: Value,
        condition: WriteCondition,
    ) -> Result<u64, WriteConflict> {
        self.check(key, condition)?;
        self.revision += 1;
        let object = Object {
            key: key.to_owned(),
            version: self.revision,
            value: value.clone(),
        };
        self.objects.insert(key.to_owned(), object);
        self.record(key, Some(value));
        Ok(self.revision)
    }

    /// Deletes an object; `false` when there is none.
    ///
    /// # Errors
    ///
    /// The condition does not hold.
    pub fn delete(&mut self, key: &str, condition: WriteCondition) -> Result<bool, WriteConflict> {
        if !self.objects.contains_key(key) {
            return Ok(false);
        }
        self.check(key, condition)?;
        self.revision += 1;
        self.objects.remove(key);
        self.record(key, None);
        Ok(true)
    }

    /// Changes at `revision` or later of keys that start with `prefix`, or `None` when some of them
    /// are compacted.
    pub fn changes_from(&self, revision: u64, prefix: &str) -> Option<Vec<Change>> {
        if self.compacted > 0 && revision <= self.compacted {
            return None;
        }
        let first = self
            .history
            .partition_point(|change| change.revision < revision);
        let changes = self.history.range(first..);
        Some(
            changes
                .filter(|change| change.key.starts_with(prefix))
                .cloned()
                .collect(),
        )
    }

    /// Forgets all changes so far.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    fn check(&self, key: &str, condition: WriteCondition) -> Result<(), WriteConflict> {
        let version = self.objects.get(key).map_or(0, |object| object.version);
        let holds = match condition {
            WriteCondition::Always => true,
            WriteCondition::Absent => version == 0,
            WriteCondition::Version(wanted) => version == wanted,
        };
        if holds {
            Ok(())
        } else {
            Err(WriteConflict { version })
        }
    }

    fn record(&mut self, key: &str, value: Option<Value>) {
        self.history.push_back(Change {
            revision: self.revision,
            key: key.to_owned(),
            version: self.revision,
            value,
        });
        if self.history.len() > HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.revision;
        }
    }
}
