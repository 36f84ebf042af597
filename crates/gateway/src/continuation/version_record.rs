//! The versions of a pool as nodes record them in the store.

use std::collections::BTreeSet;

use ryerouter_core::identity::PoolName;
use ryerouter_core::release::SoftwareVersion;
use serde::{Deserialize, Serialize};

use super::Witness;

/// The versions of a pool that may have streams under way, as nodes record them in the store.
///
/// It holds no times: a node that reads it takes each version for one that has served until now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The pool.
    pub pool: PoolName,
    /// The versions.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Era of the store in which it was written. In a later one the store may have lost a newer record.
    #[serde(default)]
    pub era: u64,
    /// Whether another version may have served whose name is lost.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_incomplete: bool,
    /// Engines on which the record rests: it proves nothing about other versions once none of them is in service. A
    /// former build names none.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub witnesses: BTreeSet<Witness>,
}
