//! Who keeps claims.

use serde::{Deserialize, Serialize};

use crate::identity::ResourceVersion;
use crate::timestamp::Timestamp;

use super::{KeeperGroup, KeyDigest};

/// Who keeps the claims of which keys; part of the configuration, so every process that acts on
/// a version of it sees the same.
///
/// The number of groups is set when the roster is founded and never changes: it decides which
/// group keeps a key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimRoster {
    /// When the first roster of the deployment was written: nothing was ever claimed before.
    /// `None` once the groups had to be founded anew after their keepers were lost.
    #[serde(default)]
    pub founded_at: Option<Timestamp>,
    /// The groups; a key belongs to the group at its digest modulo their number.
    #[serde(default)]
    pub groups: Vec<KeeperGroup>,
    /// Version of the configuration that last changed it.
    #[serde(default)]
    pub version: ResourceVersion,
}

impl ClaimRoster {
    /// Epoch of the groups of the first roster.
    pub const FIRST_EPOCH: u64 = 1;

    /// Position of the group that keeps `digest`; `None` while the roster is empty.
    pub fn group_index(&self, digest: KeyDigest) -> Option<usize> {
        let count = self.groups.len() as u128;
        (count > 0).then(|| (digest.0 % count) as usize)
    }

    /// The group that keeps `digest`.
    pub fn group_of(&self, digest: KeyDigest) -> Option<&KeeperGroup> {
        self.groups.get(self.group_index(digest)?)
    }
}
