//! Copy of the other keepers' memory after a start.

use std::collections::BTreeMap;

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::{KeeperGroup, RecordsRequest};

/// Copy of the other keepers' memory of one group, on its way.
#[derive(Debug, Clone)]
pub(super) struct RecordsCopy {
    pub epoch: u64,
    pub round: u64,
    /// Not before every ask that a process of this name may have voted on has lapsed.
    pub start_at: Timestamp,
    pub retry_at: Timestamp,
    /// The oldest claims that are copied.
    pub copied_since: Timestamp,
    /// Where each keeper's copy goes on.
    pub cursors: BTreeMap<NodeName, u32>,
    /// Since when the keepers remember whose copies are whole.
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

    /// The question that `keeper` should get now, if any.
    pub fn request_for(&self, group: usize, keeper: &NodeName) -> Option<RecordsRequest> {
        let from_second = *self.cursors.get(keeper)?;
        Some(RecordsRequest {
            group,
            epoch: self.epoch,
            round: self.round,
            from_second,
        })
    }

    /// Since when all granted claims are known, once enough copies are whole: any majority that
    /// granted a claim has a member among the keepers that were copied.
    pub fn known_since(&self, group: &KeeperGroup) -> Option<Timestamp> {
        let needed = group.keepers.len() - group.majority() + 1;
        let mut since: Vec<Timestamp> = self.complete_since.values().copied().collect();
        since.sort_unstable();
        let known = since.get(needed - 1).copied()?;
        Some(known.max(self.copied_since))
    }
}
