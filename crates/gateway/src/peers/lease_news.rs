//! News of the lease of orders.

use ryerouter_core::control::StoreVersion;
use ryerouter_core::order::LeaseRecord;
use serde::{Deserialize, Serialize};

/// The lease of orders as the sender last wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseNews {
    /// What was written.
    pub record: LeaseRecord,
    /// The version that the store gave it.
    pub version: StoreVersion,
}
