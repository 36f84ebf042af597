//! The simulated platform: object API with its faults.

use std::time::Duration;

use ryerouter_core::control::{
    ObjectKey, Precondition, StoreAnswer, StoreCall, StoreFailure, StoreRevision, StoreValue,
    StoreVersion, StoredObject, WatchEvent,
};

use super::StoreMode;
use super::store::{Store, StoreChange, WriteCondition};

/// How many changes a stale read lags behind.
const STALE_CHANGES: usize = 3;

/// What the platform does with a call.
#[derive(Debug, Clone)]
pub struct PlatformReply {
    /// The answer, unless it is lost.
    pub answer: Option<StoreAnswer>,
    /// Time the platform takes.
    pub takes: Duration,
}

/// The simulated platform.
pub struct Platform {
    store: Store,
    /// Answers of writes that were lost.
    pub answers_lost: u64,
    /// What it does to calls now.
    pub mode: StoreMode,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            store: Store::default(),
            answers_lost: 0,
            mode: StoreMode::Healthy,
        }
    }
}

impl Platform {
    /// Whether it takes calls.
    pub fn is_up(&self) -> bool {
        self.mode != StoreMode::Down
    }

    /// Revision of the whole store.
    pub fn revision(&self) -> u64 {
        self.store.revision()
    }

    /// The value of an object, whatever the mode.
    pub fn value(&self, key: &str) -> Option<StoreValue> {
        serde_json::from_str(&self.store.get(key)?.value).ok()
    }

    /// Carries out a call; `None` when it does not even take it.
    pub fn call(&mut self, call: &StoreCall, ignore_precondition: bool) -> Option<PlatformReply> {
        let takes = match self.mode {
            StoreMode::Down => return None,
            StoreMode::Slow(delay) => delay,
            _ => Duration::from_millis(2),
        };
        let is_write = matches!(call, StoreCall::Put { .. } | StoreCall::Delete { .. });
        let answer = self.carry_out(call, ignore_precondition);
        let lost = is_write && self.mode == StoreMode::AnswersLost;
        self.answers_lost += u64::from(lost);
        Some(PlatformReply {
            answer: (!lost).then_some(answer),
            takes,
        })
    }

    /// Events of a watch after `revision`.
    pub fn watch_events(&self, prefix: &str, revision: u64) -> Vec<(u64, WatchEvent)> {
        self.store
            .changes_after(prefix, revision)
            .into_iter()
            .filter_map(|change| Some((change.revision, watch_event(change)?)))
            .collect()
    }

    fn carry_out(&mut self, call: &StoreCall, ignore_precondition: bool) -> StoreAnswer {
        match call {
            StoreCall::Get { key } => self.get(key),
            StoreCall::List { prefix } => StoreAnswer::Listed {
                revision: StoreRevision(self.store.revision()),
                objects: self
                    .store
                    .list(&prefix.to_string())
                    .into_iter()
                    .filter_map(|(key, object)| stored_object(&key, object.version, &object.value))
                    .collect(),
            },
            StoreCall::Put {
                key,
                value,
                precondition,
            } => {
                let condition = match precondition {
                    _ if ignore_precondition => WriteCondition::None,
                    Precondition::Absent => WriteCondition::MustNotExist,
                    Precondition::Version(version) => WriteCondition::MustHaveVersion(version.0),
                };
                let text = serde_json::to_string(value).expect("values encode");
                match self.store.put(&key.to_string(), text, condition) {
                    Ok(version) => StoreAnswer::Written {
                        version: StoreVersion(version),
                    },
                    Err(current) => conflict(current),
                }
            }
            StoreCall::Delete { key, version } => {
                match self
                    .store
                    .delete(&key.to_string(), WriteCondition::MustHaveVersion(version.0))
                {
                    Ok(()) => StoreAnswer::Deleted,
                    Err(current) => conflict(current),
                }
            }
        }
    }

    fn get(&self, key: &ObjectKey) -> StoreAnswer {
        let text = key.to_string();
        let object = if self.mode == StoreMode::StaleReads {
            self.store.get_stale(&text, STALE_CHANGES)
        } else {
            self.store.get(&text).cloned()
        };
        match object {
            None => StoreAnswer::NotFound,
            Some(object) => stored_object(&text, object.version, &object.value).map_or_else(
                || {
                    StoreAnswer::Failed(StoreFailure::Unreadable {
                        detail: text.clone(),
                    })
                },
                StoreAnswer::Found,
            ),
        }
    }
}

fn conflict(current: u64) -> StoreAnswer {
    StoreAnswer::Conflict {
        version: (current > 0).then_some(StoreVersion(current)),
    }
}

fn stored_object(key: &str, version: u64, value: &str) -> Option<StoredObject> {
    let value: StoreValue = serde_json::from_str(value).ok()?;
    Some(StoredObject {
        key: key.parse().ok()?,
        version: StoreVersion(version),
        value,
    })
}

fn watch_event(change: StoreChange) -> Option<WatchEvent> {
    let revision = StoreRevision(change.revision);
    match &change.value {
        Some(value) => Some(WatchEvent::Written {
            revision,
            object: stored_object(&change.key, change.version, value)?,
        }),
        None => Some(WatchEvent::Deleted {
            revision,
            key: change.key.parse().ok()?,
            version: StoreVersion(change.version),
        }),
    }
}
