//! Objects of the object API.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{ObjectKey, StoreValue};

/// Version of one object; rises with each write of its key.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
)]
#[serde(transparent)]
pub struct StoreVersion(pub u64);

/// Revision of the whole store; rises with each write.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

/// An object as the object API gives it.
#[derive(Debug, Clone)]
pub struct StoredObject {
    /// Its key.
    pub key: ObjectKey,
    /// Its version.
    pub version: StoreVersion,
    /// Its value.
    pub value: StoreValue,
}
