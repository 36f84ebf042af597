//! A claim that waits for votes.

use std::collections::BTreeMap;

use crate::identity::{NodeName, RequestId};
use crate::timestamp::Timestamp;

use super::{ClaimVerdict, KeeperGroup, KeyDigest};

/// A claim that waits for votes.
#[derive(Debug, Clone)]
pub(super) struct PendingClaim {
    pub request: RequestId,
    pub digest: KeyDigest,
    pub group: KeeperGroup,
    pub requested_at: Timestamp,
    pub vote_deadline: Timestamp,
    pub verdicts: BTreeMap<NodeName, ClaimVerdict>,
}

impl PendingClaim {
    /// Records the verdict of a keeper of the group. Only the first one counts, so that no keeper
    /// votes twice.
    pub fn record(&mut self, keeper: NodeName, verdict: ClaimVerdict) {
        if self.group.keepers.contains(&keeper) {
            self.verdicts.entry(keeper).or_insert(verdict);
        }
    }

    pub fn is_granted(&self) -> bool {
        self.count(ClaimVerdict::Granted) >= self.group.majority()
    }

    /// Whether a majority cannot be reached even if all outstanding votes grant the claim.
    pub fn cannot_succeed(&self) -> bool {
        let outstanding = self.group.keepers.len() - self.verdicts.len();
        self.count(ClaimVerdict::Granted) + outstanding < self.group.majority()
    }

    pub fn has_verdict(&self, verdict: ClaimVerdict) -> bool {
        self.count(verdict) > 0
    }

    /// Earliest time at which a majority of the keepers can vote on the key, according to their
    /// verdicts. A keeper that granted the claim counts as able to vote at any time. `None` if too
    /// few keepers granted the claim or stated a time.
    pub fn majority_can_vote_from(&self) -> Option<Timestamp> {
        let mut can_vote_from: Vec<Timestamp> = self
            .verdicts
            .values()
            .filter_map(|verdict| match verdict {
                ClaimVerdict::Granted => Some(Timestamp::ZERO),
                ClaimVerdict::Forgetful { until } => Some(*until),
                _ => None,
            })
            .collect();
        can_vote_from.sort_unstable();
        can_vote_from.get(self.group.majority() - 1).copied()
    }

    fn count(&self, verdict: ClaimVerdict) -> usize {
        self.verdicts
            .values()
            .filter(|given| **given == verdict)
            .count()
    }
}
