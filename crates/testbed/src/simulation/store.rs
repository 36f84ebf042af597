//! The simulated object API.

use std::collections::BTreeMap;

/// One object at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Version of the object; it rises with every write.
    pub version: u64,
    /// Value, as JSON text.
    pub value: String,
}

/// What a write requires of the object's current state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object must not exist.
    MustNotExist,
    /// The object must have this version.
    MustHaveVersion(u64),
    /// Nothing.
    None,
}

/// A change that a watcher sees; `value` is `None` for a deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreChange {
    /// Revision of the whole store.
    pub revision: u64,
    /// Key.
    pub key: String,
    /// Version of the object.
    pub version: u64,
    /// New value.
    pub value: Option<String>,
}

/// The state of the object API, with its history for watches and stale reads.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, StoredObject>,
    history: Vec<StoreChange>,
    revision: u64,
}

impl Store {
    /// Revision of the whole store.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads an object.
    pub fn get(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Reads an object as it was `lag` changes ago.
    pub fn get_stale(&self, key: &str, lag: usize) -> Option<StoredObject> {
        let seen = self.history.len().saturating_sub(lag);
        self.history[..seen]
            .iter()
            .rev()
            .find(|change| change.key == key)
            .and_then(|change| {
                Some(StoredObject {
                    version: change.version,
                    value: change.value.clone()?,
                })
            })
    }

    /// Objects whose keys start with `prefix`, in the order of their keys.
    pub fn list(&self, prefix: &str) -> Vec<(String, StoredObject)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, object)| (key.clone(), object.clone()))
            .collect()
    }

    /// Writes an object. The error is the current version (0 when it does not exist).
    pub fn put(&mut self, key: &str, value: String, condition: WriteCondition) -> Result<u64, u64> {
        let current = self.objects.get(key).map_or(0, |object| object.version);
        let allowed = match condition {
            WriteCondition::MustNotExist => current == 0,
            WriteCondition::MustHaveVersion(version) => current == version,
            WriteCondition::None => true,
        };
        if !allowed {
            return Err(current);
        }
        self.revision += 1;
        let version = self.revision;
        self.objects.insert(
            key.to_owned(),
            StoredObject {
                version,
                value: value.clone(),
            },
        );
        self.record(key, version, Some(value));
        Ok(version)
    }

    /// Deletes an object. The error is the current version.
    pub fn delete(&mut self, key: &str, condition: WriteCondition) -> Result<(), u64> {
        let current = self.objects.get(key).map_or(0, |object| object.version);
        if let WriteCondition::MustHaveVersion(version) = condition
            && version != current
        {
            return Err(current);
        }
        if self.objects.remove(key).is_some() {
            self.revision += 1;
            self.record(key, self.revision, None);
        }
        Ok(())
    }

    /// Changes under `prefix` after `revision`.
    pub fn changes_after(&self, prefix: &str, revision: u64) -> Vec<StoreChange> {
        let start = self
            .history
            .partition_point(|change| change.revision <= revision);
        self.history[start..]
            .iter()
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn record(&mut self, key: &str, version: u64, value: Option<String>) {
        self.history.push(StoreChange {
            revision: self.revision,
            key: key.to_owned(),
            version,
            value,
        });
    }
}
