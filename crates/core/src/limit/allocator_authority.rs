//! Authority of a bank in one group.

use std::collections::BTreeSet;

use crate::claim::KeeperGroup;
use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::LimitSettings;

/// Authority of a bank in one group.
///
/// A bank hands out tickets only while a majority of its group has lately confirmed its epoch. So
/// a bank that was replaced but can't hear of it stops, and after as long its successor may start.
#[derive(Debug, Clone)]
pub(super) struct AllocatorAuthority {
    group: KeeperGroup,
    /// Banks of the epoch before, whose shares still bound this bank's until the time, and for
    /// good while the change is not settled. Without banks nothing is handed out.
    bounded_by: Option<(Vec<NodeName>, Option<Timestamp>)>,
    round: u64,
    requested_at: Timestamp,
    confirmed_by: BTreeSet<NodeName>,
    valid_until: Timestamp,
}

impl AllocatorAuthority {
    /// Authority of a process that sees `group` for the first time since its start.
    pub fn new(group: KeeperGroup, settings: &LimitSettings, now: Timestamp) -> Self {
        let first = group.previous.is_empty();
        let allocators = group.previous.clone();
        Self {
            group,
            bounded_by: Some((
                allocators,
                first.then(|| now.after(settings.authority_validity)),
            )),
            round: 0,
            requested_at: Timestamp::ZERO,
            confirmed_by: BTreeSet::new(),
            valid_until: Timestamp::ZERO,
        }
    }

    /// Takes a new state of the group.
    pub fn adopt(&mut self, group: &KeeperGroup, settings: &LimitSettings, now: Timestamp) {
        if *group == self.group {
            return;
        }
        let before = std::mem::replace(&mut self.group, group.clone());
        let previous_allocators = if group.epoch == before.epoch {
            before.previous
        } else {
            before.keepers
        };
        let settled = group.previous.is_empty();
        let until = settled.then(|| now.after(settings.authority_validity));
        self.bounded_by = Some((previous_allocators, until));
        if group.epoch != before.epoch {
            self.valid_until = Timestamp::ZERO;
            self.confirmed_by.clear();
        }
    }

    /// Since when nothing but its own group bounds this bank's shares; `now` while more does.
    pub fn unbounded_since(&self, now: Timestamp) -> Timestamp {
        match &self.bounded_by {
            Some((_, Some(until))) => now.min(*until),
            Some((_, None)) => now,
            None => Timestamp::ZERO,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.group.epoch
    }

    /// Whether tickets may be handed out now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// Sets of banks whose smallest share counts.
    pub fn allocator_sets(&self, now: Timestamp) -> Vec<&[NodeName]> {
        let mut sets = vec![self.group.keepers.as_slice()];
        if let Some((allocators, until)) = &self.bounded_by
            && until.is_none_or(|until| now < until)
        {
            sets.push(allocators);
        }
        sets
    }

    /// Banks to ask for confirmation, when it is time to.
    pub fn start_round(
        &mut self,
        own_name: &NodeName,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> Vec<NodeName> {
        let half = settings.authority_validity / 2;
        let fresh = now < self.valid_until.before(half);
        if fresh || now < self.requested_at.after(half / 4) {
            return Vec::new();
        }
        self.round += 1;
        self.requested_at = now;
        self.confirmed_by.clear();
        self.confirm(own_name.clone(), self.group.epoch, self.round, settings);
        self.voters()
            .iter()
            .filter(|name| *name != own_name)
            .cloned()
            .collect()
    }

    /// Number of the last round.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Takes a confirmation; it counts from when the round was started.
    pub fn confirm(&mut self, from: NodeName, epoch: u64, round: u64, settings: &LimitSettings) {
        if round != self.round || epoch != self.group.epoch || !self.voters().contains(&from) {
            return;
        }
        self.confirmed_by.insert(from);
        if self.confirmed_by.len() > self.voters().len() / 2 {
            self.valid_until = self.requested_at.after(settings.authority_validity);
        }
    }

    /// While a change is not settled only a majority of the banks before ends their authority.
    fn voters(&self) -> &[NodeName] {
        if self.group.previous.is_empty() {
            &self.group.keepers
        } else {
            &self.group.previous
        }
    }
}
