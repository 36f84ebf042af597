//! Selection of keepers and changes of keeper groups.

use std::collections::{BTreeMap, BTreeSet};

use crate::identity::{NodeName, ZoneName};
use crate::timestamp::Timestamp;

use super::keeper_selector::KeeperSelector;
use super::{
    ClaimEnvelope, ClaimMessage, ClaimRoster, EpochConfirmation, KeeperGroup, KeeperPlannerAction,
    KeeperPlannerEvent, KeeperPlannerSettings,
};

/// Creates the roster of keepers, replaces absent keepers and completes each change.
///
/// Runs on the holder of the director lease. Two planners at the same time are harmless, because a
/// roster is written only if the version it was derived from is still current.
///
/// Two invariants prevent a key from being granted in two epochs: a group never shrinks, and a
/// change is completed, which lets the new keepers vote, only after a majority of the previous
/// keepers has adopted the new epoch, so that the old epoch cannot reach a majority any more.
/// Without such a majority, a group is recreated only once the machines of a majority of its
/// keepers are gone.
#[derive(Debug, Clone)]
pub struct KeeperPlanner {
    settings: KeeperPlannerSettings,
    roster: ClaimRoster,
    /// When each node was first seen; only used until a roster exists.
    first_seen: BTreeMap<NodeName, Timestamp>,
    absent_since: BTreeMap<NodeName, Timestamp>,
    machine_gone_since: BTreeMap<NodeName, Timestamp>,
    confirmed: BTreeMap<EpochConfirmation, BTreeSet<NodeName>>,
    next_confirmation_request_at: Timestamp,
    proposed_at: Option<Timestamp>,
}

impl KeeperPlanner {
    /// Creates a planner with an empty roster.
    pub fn new(settings: KeeperPlannerSettings) -> Self {
        Self {
            settings,
            roster: ClaimRoster::default(),
            first_seen: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            machine_gone_since: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            next_confirmation_request_at: Timestamp::ZERO,
            proposed_at: None,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        event: KeeperPlannerEvent,
        now: Timestamp,
        actions: &mut Vec<KeeperPlannerAction>,
    ) {
        match event {
            KeeperPlannerEvent::RosterChanged(roster) => self.adopt(roster),
            KeeperPlannerEvent::MembersSeen { alive, gone } => {
                self.record_presence(&alive, now);
                self.record_absence(&alive, &gone, now);
                self.plan(&alive, now, actions);
            }
            KeeperPlannerEvent::Confirmed { from, confirmation } => {
                self.confirmed.entry(confirmation).or_default().insert(from);
            }
        }
    }

    fn adopt(&mut self, roster: ClaimRoster) {
        if roster != self.roster {
            self.proposed_at = None;
        }
        self.roster = roster;
        let groups = &self.roster.groups;
        self.confirmed.retain(|confirmation, _| {
            groups
                .get(confirmation.group)
                .is_some_and(|group| confirmation.epoch >= group.epoch)
        });
    }

    fn record_presence(&mut self, alive: &BTreeMap<NodeName, ZoneName>, now: Timestamp) {
        self.first_seen.retain(|name, _| alive.contains_key(name));
        if !self.roster.groups.is_empty() {
            self.first_seen.clear();
            return;
        }
        for name in alive.keys() {
            self.first_seen.entry(name.clone()).or_insert(now);
        }
    }

    fn record_absence(
        &mut self,
        alive: &BTreeMap<NodeName, ZoneName>,
        gone: &BTreeSet<NodeName>,
        now: Timestamp,
    ) {
        let keepers: BTreeSet<&NodeName> = self
            .roster
            .groups
            .iter()
            .flat_map(|group| group.keepers.iter().chain(&group.previous))
            .collect();
        self.absent_since
            .retain(|name, _| keepers.contains(name) && !alive.contains_key(name));
        self.machine_gone_since
            .retain(|name, _| keepers.contains(name) && gone.contains(name));
        for keeper in keepers {
            if !alive.contains_key(keeper) {
                self.absent_since.entry(keeper.clone()).or_insert(now);
            }
            if gone.contains(keeper) && !alive.contains_key(keeper) {
                self.machine_gone_since.entry(keeper.clone()).or_insert(now);
            }
        }
    }

    fn plan(
        &mut self,
        alive: &BTreeMap<NodeName, ZoneName>,
        now: Timestamp,
        actions: &mut Vec<KeeperPlannerAction>,
    ) {
        self.request_confirmations(now, actions);
        let timeout = self.settings.proposal_timeout;
        if self
            .proposed_at
            .is_some_and(|proposed_at| now < proposed_at.after(timeout))
        {
            return;
        }
        let next = if self.roster.groups.is_empty() {
            self.initial(alive, now)
        } else {
            self.updated(alive, now)
        };
        if let Some(roster) = next {
            self.proposed_at = Some(now);
            actions.push(roster.into());
        }
    }

    /// The first roster; `None` while no node is known or further nodes may still join.
    fn initial(&self, alive: &BTreeMap<NodeName, ZoneName>, now: Timestamp) -> Option<ClaimRoster> {
        let first = self.first_seen.values().min()?;
        let last = self.first_seen.values().max()?;
        let no_recent_joins = now >= last.after(self.settings.bootstrap_quiet_period);
        if !no_recent_joins && now < first.after(self.settings.bootstrap_max_wait) {
            return None;
        }
        let alive: BTreeMap<NodeName, ZoneName> = alive
            .iter()
            .filter(|(name, _)| self.seen_long_enough(name, now))
            .map(|(name, zone)| (name.clone(), zone.clone()))
            .collect();
        let alive = &alive;
        let count = (alive.len() / self.settings.group_size).clamp(1, self.settings.max_groups);
        let mut selector = KeeperSelector::new(alive, &[]);
        let groups = (0..count)
            .map(|index| {
                let mut keepers = Vec::new();
                selector.fill(index, &mut keepers, self.settings.group_size);
                KeeperGroup {
                    epoch: ClaimRoster::FIRST_EPOCH,
                    keepers,
                    previous: Vec::new(),
                }
            })
            .collect();
        Some(ClaimRoster {
            founded_at: Some(now),
            groups,
            version: self.roster.version,
        })
    }

    fn seen_long_enough(&self, name: &NodeName, now: Timestamp) -> bool {
        self.first_seen
            .get(name)
            .is_some_and(|seen| now >= seen.after(self.settings.bootstrap_quiet_period))
    }

    /// The roster with all changes that are due; `None` if there are none.
    fn updated(&self, alive: &BTreeMap<NodeName, ZoneName>, now: Timestamp) -> Option<ClaimRoster> {
        let mut selector = KeeperSelector::new(alive, &self.roster.groups);
        let mut next = self.roster.clone();
        for (index, group) in next.groups.iter_mut().enumerate() {
            if self.has_lost_majority(group, now) {
                self.recreate_group(index, group, &mut selector);
            } else if group.previous.is_empty() {
                self.replace_absent(index, group, &mut selector, now);
            } else if self.is_confirmed(index, group) {
                group.previous.clear();
            }
        }
        (next != self.roster).then_some(next)
    }

    /// Whether the machines of a majority of the voters have been gone for `recreate_after`. The
    /// voters are the keepers, or the previous keepers while a change is not completed.
    fn has_lost_majority(&self, group: &KeeperGroup, now: Timestamp) -> bool {
        let recreate_after = self.settings.recreate_after;
        let voters = if group.previous.is_empty() {
            &group.keepers
        } else {
            &group.previous
        };
        let gone = voters
            .iter()
            .filter(|keeper| {
                self.machine_gone_since
                    .get(*keeper)
                    .is_some_and(|since| now >= since.after(recreate_after))
            })
            .count();
        gone > voters.len() / 2
    }

    fn recreate_group(
        &self,
        index: usize,
        group: &mut KeeperGroup,
        selector: &mut KeeperSelector<'_>,
    ) {
        let size = group.keepers.len().max(self.settings.group_size);
        let mut keepers: Vec<NodeName> = self.without_absent(&group.keepers);
        selector.fill(index, &mut keepers, size);
        if keepers.is_empty() {
            return;
        }
        group.epoch += 1;
        group.keepers = keepers;
        group.previous.clear();
    }

    fn replace_absent(
        &self,
        index: usize,
        group: &mut KeeperGroup,
        selector: &mut KeeperSelector<'_>,
        now: Timestamp,
    ) {
        let replace_after = self.settings.replace_after;
        let old_size = group.keepers.len();
        let mut keepers: Vec<NodeName> = group
            .keepers
            .iter()
            .filter(|keeper| {
                self.absent_since
                    .get(*keeper)
                    .is_none_or(|since| now < since.after(replace_after))
            })
            .cloned()
            .collect();
        let majority_stays = keepers.len() >= group.majority();
        selector.fill(index, &mut keepers, self.settings.group_size.max(old_size));
        if !majority_stays || keepers.len() < old_size || keepers == group.keepers {
            return;
        }
        group.epoch += 1;
        group.previous = std::mem::replace(&mut group.keepers, keepers);
    }

    fn without_absent(&self, keepers: &[NodeName]) -> Vec<NodeName> {
        keepers
            .iter()
            .filter(|keeper| !self.absent_since.contains_key(*keeper))
            .cloned()
            .collect()
    }

    fn is_confirmed(&self, index: usize, group: &KeeperGroup) -> bool {
        let mut confirmed_by = BTreeSet::new();
        for (confirmation, keepers) in &self.confirmed {
            if confirmation.group == index && confirmation.epoch >= group.epoch {
                confirmed_by.extend(keepers.iter().filter(|name| group.previous.contains(name)));
            }
        }
        confirmed_by.len() > group.previous.len() / 2
    }

    fn request_confirmations(&mut self, now: Timestamp, actions: &mut Vec<KeeperPlannerAction>) {
        if now < self.next_confirmation_request_at {
            return;
        }
        self.next_confirmation_request_at = now.after(self.settings.confirm_interval);
        for (index, group) in self.roster.groups.iter().enumerate() {
            for keeper in &group.previous {
                let confirmation = EpochConfirmation {
                    group: index,
                    epoch: group.epoch,
                };
                let send = ClaimEnvelope {
                    to: keeper.clone(),
                    message: ClaimMessage::ConfirmEpoch(confirmation),
                };
                actions.push(send.into());
            }
        }
    }
}
