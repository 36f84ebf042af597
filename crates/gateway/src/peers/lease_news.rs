//! News of the lease of orders.

use ryerouter_core::control::StoreVersion;
use ryerouter_core::order::LeaseRecord;
use serde::{Deserialize, Serialize};

/// The lease of orders as the sender last saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseUpdate {
    /// What is written.
    pub record: LeaseRecord,
    /// The version that the store gave it.
    pub version: StoreVersion,
    /// How long before the message it was first seen so, in milliseconds.
    pub age_ms: u64,
}
