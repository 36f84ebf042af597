//! The keeper groups of a deployment.

use serde::{Deserialize, Serialize};

use crate::identity::ResourceVersion;
use crate::timestamp::Timestamp;

use super::{KeeperGroup, KeyDigest};

/// Assigns keys to keeper groups. It is part of the configuration, so all processes with the same
/// configuration version use the same roster.
///
/// The number of groups is set when the roster is created and never changes, because it determines
/// which group stores the claims on a key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimRoster {
    /// When the first roster of the deployment was written; no claim was granted before. `None`
    /// once the groups had to be recreated because their keepers were lost.
    #[serde(default)]
    pub founded_at: Option<Timestamp>,
    /// The groups; a key belongs to the group whose index is the key's digest modulo their number.
    #[serde(default)]
    pub groups: Vec<KeeperGroup>,
    /// Version of the configuration that last changed the roster.
    #[serde(default)]
    pub version: ResourceVersion,
}

impl ClaimRoster {
    /// Epoch of the groups in the first roster.
    pub const FIRST_EPOCH: u64 = 1;

    /// Index of the group that stores claims on `digest`; `None` while the roster is empty.
    pub fn group_index(&self, digest: KeyDigest) -> Option<usize> {
        let count = self.groups.len() as u128;
        (count > 0).then(|| (digest.0 % count) as usize)
    }

    /// The group that stores claims on `digest`; `None` while the roster is empty.
    pub fn group_of(&self, digest: KeyDigest) -> Option<&KeeperGroup> {
        self.groups.get(self.group_index(digest)?)
    }
}
