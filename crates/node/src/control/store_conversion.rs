//! Objects and errors of the platform clients as the control state knows them.

use ryerouter_core::control::{
    ObjectKey, Precondition, StoreAnswer, StoreFailure, StoreRevision, StoreVersion, StoredObject,
    WatchEvent,
};

use crate::platform::{Object, ObjectChange, ObjectCondition, PlatformError};

/// An object under a key that ryerouter keeps; `None` for a foreign key.
pub(super) fn stored_object(object: Object) -> Result<Option<StoredObject>, PlatformError> {
    let Ok(key) = object.key.parse::<ObjectKey>() else {
        return Ok(None);
    };
    let version = StoreVersion(object.version);
    let value = object.decode()?;
    Ok(Some(StoredObject {
        key,
        version,
        value,
    }))
}

/// What a watch told; `None` for a foreign key.
pub(super) fn watch_event(change: ObjectChange) -> Result<Option<WatchEvent>, PlatformError> {
    let revision = StoreRevision(change.revision);
    let version = StoreVersion(change.version);
    let Ok(key) = change.key.parse::<ObjectKey>() else {
        return Ok(None);
    };
    let Some(object) = change.into_object() else {
        return Ok(Some(WatchEvent::Deleted {
            revision,
            key,
            version,
        }));
    };
    let object = stored_object(object)?;
    Ok(object.map(|object| WatchEvent::Written { revision, object }))
}

pub(super) fn object_condition(precondition: Precondition) -> ObjectCondition {
    match precondition {
        Precondition::Absent => ObjectCondition::Absent,
        Precondition::Version(version) => ObjectCondition::Version(version.0),
    }
}

/// The answer that an error stands for.
pub(super) fn answer_of_error(error: PlatformError) -> StoreAnswer {
    match error {
        PlatformError::Conflict { current } => StoreAnswer::Conflict {
            version: (current > 0).then_some(StoreVersion(current)),
        },
        PlatformError::NotFound => StoreAnswer::NotFound,
        PlatformError::TooManyReaders { .. } => StoreAnswer::Failed(StoreFailure::TooManyReaders),
        PlatformError::Malformed { detail } => {
            StoreAnswer::Failed(StoreFailure::Unreadable { detail })
        }
        other => StoreAnswer::Failed(StoreFailure::Unavailable {
            detail: other.to_string(),
        }),
    }
}
