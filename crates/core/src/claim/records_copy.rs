//! Copying of the other keepers' records by a new or restarted keeper.

use std::collections::BTreeMap;

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::{KeeperGroup, RecordsRequest};

/// An unfinished copy of the other keepers' records of one group.
#[derive(Debug, Clone)]
pub(super) struct RecordsCopy {
    pub epoch: u64,
    /// Number of the copy; 0 until its first requests are sent.
    pub round: u64,
    /// Start of the copy, late enough that every vote request on which an earlier process of this
    /// name may have voted has expired.
    pub start_at: Timestamp,
    pub retry_at: Timestamp,
    /// All claims granted at or after this time are copied.
    pub copied_since: Timestamp,
    /// Next expiry second to request from each keeper whose records are not yet copied completely.
    pub cursors: BTreeMap<NodeName, u32>,
    /// Keepers whose records are copied completely, each with the start of its coverage.
    pub complete_since: BTreeMap<NodeName, Timestamp>,
}

impl RecordsCopy {
    pub fn new(epoch: u64, start_at: Timestamp) -> Self {
        Self {
            epoch,
            round: 0,
            start_at,
            retry_at: start_at,
            copied_since: Timestamp::ZERO,
            cursors: BTreeMap::new(),
            complete_since: BTreeMap::new(),
        }
    }

    /// The next request to send to `keeper`; `None` if its records are copied completely.
    pub fn request_for(&self, group: usize, keeper: &NodeName) -> Option<RecordsRequest> {
        let from_second = *self.cursors.get(keeper)?;
        Some(RecordsRequest {
            group,
            epoch: self.epoch,
            round: self.round,
            from_second,
        })
    }

    /// The time from which all granted claims are known. `None` until enough keepers are copied
    /// that every majority that granted a claim includes one of them.
    pub fn known_since(&self, group: &KeeperGroup) -> Option<Timestamp> {
        let needed = group.keepers.len() - group.majority() + 1;
        let mut since: Vec<Timestamp> = self.complete_since.values().copied().collect();
        since.sort_unstable();
        let known = since.get(needed - 1).copied()?;
        Some(known.max(self.copied_since))
    }
}
