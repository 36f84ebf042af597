//! Values in the object API.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Checkpoint, LogEntry};
use crate::order::LeaseRecord;

/// Value of an object that ryerouter keeps in the object API, as JSON with a `kind`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StoreValue {
    /// One accepted change.
    ConfigEntry(Arc<LogEntry>),
    /// The whole configuration.
    ConfigSnapshot(Arc<Checkpoint>),
    /// A lease.
    Lease(LeaseRecord),
}
