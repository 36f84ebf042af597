//! Versions of a pool that were rejected.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::SoftwareVersion;

/// Maximum number of rejected versions that are kept for a pool. Engines of a version that was rejected so many orders
/// ago are not expected to come back.
const MAX_VERSIONS: usize = 16;

/// Versions of a pool that were rejected under earlier orders, the latest last. Beyond a maximum number the oldest are
/// forgotten.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<SoftwareVersion>")]
pub struct RejectedVersions(Vec<SoftwareVersion>);

impl RejectedVersions {
    /// Adds a version, as the latest.
    pub fn insert(&mut self, version: SoftwareVersion) {
        self.remove(&version);
        self.0.push(version);
        let excess = self.0.len().saturating_sub(MAX_VERSIONS);
        self.0.drain(..excess);
    }

    /// Adds the versions of `other` that are not known yet.
    pub fn merge(&mut self, other: &Self) {
        for version in &other.0 {
            if !self.contains(version) {
                self.insert(version.clone());
            }
        }
    }

    /// Removes a version, which has been ordered again.
    pub fn remove(&mut self, version: &str) {
        self.0.retain(|known| known != version);
    }

    /// Whether a version was rejected.
    pub fn contains(&self, version: &str) -> bool {
        self.0.iter().any(|known| known == version)
    }

    /// Whether no version was rejected.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The versions, the latest last.
    pub fn iter(&self) -> impl Iterator<Item = &SoftwareVersion> {
        self.0.iter()
    }

    /// The versions as a set.
    pub fn to_set(&self) -> BTreeSet<SoftwareVersion> {
        self.0.iter().cloned().collect()
    }
}

impl From<Vec<SoftwareVersion>> for RejectedVersions {
    fn from(versions: Vec<SoftwareVersion>) -> Self {
        let mut rejected = Self::default();
        for version in versions {
            rejected.insert(version);
        }
        rejected
    }
}
