//! Authority of an allocator in one group.

use std::collections::BTreeSet;

use crate::claim::KeeperGroup;
use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::LimitSettings;

/// Authority of an allocator in one group.
///
/// An allocator grants permits only while a majority of its group has recently confirmed its epoch.
/// An allocator that was replaced while it was isolated therefore stops granting, and its successor
/// may start after the same time.
#[derive(Debug, Clone)]
pub(super) struct AllocatorAuthority {
    group: KeeperGroup,
    /// Allocators of the previous epoch. Until the given time this allocator grants no more than its
    /// share as one of them; the time is `None` while the change of the group is not completed. If
    /// the list is empty, as after a start, nothing is granted until then.
    bounded_by: Option<(Vec<NodeName>, Option<Timestamp>)>,
    round: u64,
    round_started_at: Timestamp,
    confirmed_by: BTreeSet<NodeName>,
    valid_until: Timestamp,
}

impl AllocatorAuthority {
    /// Authority of a process that sees `group` for the first time since its start.
    pub fn new(group: KeeperGroup, settings: &LimitSettings, now: Timestamp) -> Self {
        let is_completed = group.previous.is_empty();
        let allocators = group.previous.clone();
        Self {
            group,
            bounded_by: Some((
                allocators,
                is_completed.then(|| now.after(settings.authority_validity)),
            )),
            round: 0,
            round_started_at: Timestamp::ZERO,
            confirmed_by: BTreeSet::new(),
            valid_until: Timestamp::ZERO,
        }
    }

    /// Applies a new state of the group.
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
        let is_completed = group.previous.is_empty();
        let until = is_completed.then(|| now.after(settings.authority_validity));
        self.bounded_by = Some((previous_allocators, until));
        if group.epoch != before.epoch {
            self.valid_until = Timestamp::ZERO;
            self.confirmed_by.clear();
        }
    }

    /// Time since which only the current group bounds this allocator's shares; `now` while the
    /// previous one does as well.
    pub fn unbounded_since(&self, now: Timestamp) -> Timestamp {
        match &self.bounded_by {
            Some((_, Some(until))) => now.min(*until),
            Some((_, None)) => now,
            None => Timestamp::ZERO,
        }
    }

    /// Epoch of the group.
    pub fn epoch(&self) -> u64 {
        self.group.epoch
    }

    /// Whether permits may be granted now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// Sets of allocators to compute a share from; the smallest share applies.
    pub fn allocator_sets(&self, now: Timestamp) -> Vec<&[NodeName]> {
        let mut sets = vec![self.group.keepers.as_slice()];
        if let Some((allocators, until)) = &self.bounded_by
            && until.is_none_or(|until| now < until)
        {
            sets.push(allocators);
        }
        sets
    }

    /// Starts a round of confirmations when one is due; returns the allocators to ask.
    pub fn start_round(
        &mut self,
        own_name: &NodeName,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> Vec<NodeName> {
        let half = settings.authority_validity / 2;
        let fresh = now < self.valid_until.before(half);
        if fresh || now < self.round_started_at.after(half / 4) {
            return Vec::new();
        }
        self.round += 1;
        self.round_started_at = now;
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

    /// Applies a confirmation. It is valid from the start of the round.
    pub fn confirm(&mut self, from: NodeName, epoch: u64, round: u64, settings: &LimitSettings) {
        if round != self.round || epoch != self.group.epoch || !self.voters().contains(&from) {
            return;
        }
        self.confirmed_by.insert(from);
        if self.confirmed_by.len() > self.voters().len() / 2 {
            self.valid_until = self.round_started_at.after(settings.authority_validity);
        }
    }

    /// Allocators whose majority must confirm the epoch. Until a change is completed these are the
    /// previous ones, because only a majority of them ends their authority.
    fn voters(&self) -> &[NodeName] {
        if self.group.previous.is_empty() {
            &self.group.keepers
        } else {
            &self.group.previous
        }
    }
}
