//! Choice of keepers over time.

use std::collections::{BTreeMap, BTreeSet};

use crate::identity::{NodeName, ZoneName};
use crate::timestamp::Timestamp;

use super::keeper_choice::KeeperChoice;
use super::{
    ClaimMessage, ClaimRoster, ClaimSend, EpochConfirmation, KeeperGroup, KeeperPlannerAction,
    KeeperPlannerEvent, KeeperPlannerSettings,
};

/// Founds the roster of keepers, replaces keepers that are gone and settles each change.
///
/// Runs on the holder of the director lease; two at once do no harm, because a roster is written
/// only over the version it was made from.
///
/// Invariants that keep a key from being granted by two epochs: a group never shrinks, and a
/// change is settled (its joiners vote) only when a majority of the previous keepers has adopted
/// the new epoch, so that the old epoch can't reach a majority any more. Without such a majority a
/// group is founded anew only when the machines of a majority of its keepers are gone.
#[derive(Debug, Clone)]
pub struct KeeperPlanner {
    settings: KeeperPlannerSettings,
    roster: ClaimRoster,
    /// When nodes were first seen; kept while there is no roster.
    first_seen: BTreeMap<NodeName, Timestamp>,
    absent_since: BTreeMap<NodeName, Timestamp>,
    gone_since: BTreeMap<NodeName, Timestamp>,
    confirmed: BTreeMap<EpochConfirmation, BTreeSet<NodeName>>,
    confirm_at: Timestamp,
    proposed_at: Option<Timestamp>,
}

impl KeeperPlanner {
    /// A planner that has seen nothing yet.
    pub fn new(settings: KeeperPlannerSettings) -> Self {
        Self {
            settings,
            roster: ClaimRoster::default(),
            first_seen: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            confirm_at: Timestamp::ZERO,
            proposed_at: None,
        }
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        event: KeeperPlannerEvent,
        now: Timestamp,
        actions: &mut Vec<KeeperPlannerAction>,
    ) {
        match event {
            KeeperPlannerEvent::RosterChanged(roster) => self.adopt(roster),
            KeeperPlannerEvent::MembersSeen { alive, gone } => {
                self.note_presence(&alive, now);
                self.note_absence(&alive, &gone, now);
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

    fn note_presence(&mut self, alive: &BTreeMap<NodeName, ZoneName>, now: Timestamp) {
        self.first_seen.retain(|name, _| alive.contains_key(name));
        if !self.roster.groups.is_empty() {
            self.first_seen.clear();
            return;
        }
        for name in alive.keys() {
            self.first_seen.entry(name.clone()).or_insert(now);
        }
    }

    fn note_absence(
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
        self.gone_since
            .retain(|name, _| keepers.contains(name) && gone.contains(name));
        for keeper in keepers {
            if !alive.contains_key(keeper) {
                self.absent_since.entry(keeper.clone()).or_insert(now);
            }
            if gone.contains(keeper) && !alive.contains_key(keeper) {
                self.gone_since.entry(keeper.clone()).or_insert(now);
            }
        }
    }

    fn plan(
        &mut self,
        alive: &BTreeMap<NodeName, ZoneName>,
        now: Timestamp,
        actions: &mut Vec<KeeperPlannerAction>,
    ) {
        self.ask_for_confirmations(now, actions);
        let timeout = self.settings.proposal_timeout;
        if self
            .proposed_at
            .is_some_and(|proposed_at| now < proposed_at.after(timeout))
        {
            return;
        }
        let next = if self.roster.groups.is_empty() {
            self.founded(alive, now)
        } else {
            self.changed(alive, now)
        };
        if let Some(roster) = next {
            self.proposed_at = Some(now);
            actions.push(roster.into());
        }
    }

    fn founded(&self, alive: &BTreeMap<NodeName, ZoneName>, now: Timestamp) -> Option<ClaimRoster> {
        let first = self.first_seen.values().min()?;
        let last = self.first_seen.values().max()?;
        let quiet = now >= last.after(self.settings.founding_delay);
        if !quiet && now < first.after(self.settings.founding_wait) {
            return None;
        }
        let alive: BTreeMap<NodeName, ZoneName> = alive
            .iter()
            .filter(|(name, _)| self.was_up_before(name, now))
            .map(|(name, zone)| (name.clone(), zone.clone()))
            .collect();
        let alive = &alive;
        let count = (alive.len() / self.settings.group_size).clamp(1, self.settings.max_groups);
        let mut choice = KeeperChoice::new(alive, &[]);
        let groups = (0..count)
            .map(|index| {
                let mut keepers = Vec::new();
                choice.fill(index, &mut keepers, self.settings.group_size);
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

    fn was_up_before(&self, name: &NodeName, now: Timestamp) -> bool {
        self.first_seen
            .get(name)
            .is_some_and(|seen| now >= seen.after(self.settings.founding_delay))
    }

    fn changed(&self, alive: &BTreeMap<NodeName, ZoneName>, now: Timestamp) -> Option<ClaimRoster> {
        let mut choice = KeeperChoice::new(alive, &self.roster.groups);
        let mut next = self.roster.clone();
        for (index, group) in next.groups.iter_mut().enumerate() {
            if self.is_lost(group, now) {
                self.found_anew(index, group, &mut choice);
            } else if group.previous.is_empty() {
                self.replace_absent(index, group, &mut choice, now);
            } else if self.is_confirmed(index, group) {
                group.previous.clear();
            }
        }
        (next != self.roster).then_some(next)
    }

    /// Whether no majority that could still grant is left: of the keepers, or of those before
    /// while a change is not settled.
    fn is_lost(&self, group: &KeeperGroup, now: Timestamp) -> bool {
        let lost_after = self.settings.lost_after;
        let voters = if group.previous.is_empty() {
            &group.keepers
        } else {
            &group.previous
        };
        let gone = voters
            .iter()
            .filter(|keeper| {
                self.gone_since
                    .get(*keeper)
                    .is_some_and(|since| now >= since.after(lost_after))
            })
            .count();
        gone > voters.len() / 2
    }

    fn found_anew(&self, index: usize, group: &mut KeeperGroup, choice: &mut KeeperChoice<'_>) {
        let size = group.keepers.len().max(self.settings.group_size);
        let mut keepers: Vec<NodeName> = self.present(&group.keepers);
        choice.fill(index, &mut keepers, size);
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
        choice: &mut KeeperChoice<'_>,
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
        choice.fill(index, &mut keepers, self.settings.group_size.max(old_size));
        if !majority_stays || keepers.len() < old_size || keepers == group.keepers {
            return;
        }
        group.epoch += 1;
        group.previous = std::mem::replace(&mut group.keepers, keepers);
    }

    fn present(&self, keepers: &[NodeName]) -> Vec<NodeName> {
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

    fn ask_for_confirmations(&mut self, now: Timestamp, actions: &mut Vec<KeeperPlannerAction>) {
        if now < self.confirm_at {
            return;
        }
        self.confirm_at = now.after(self.settings.confirm_interval);
        for (index, group) in self.roster.groups.iter().enumerate() {
            for keeper in &group.previous {
                let confirmation = EpochConfirmation {
                    group: index,
                    epoch: group.epoch,
                };
                let send = ClaimSend {
                    to: keeper.clone(),
                    message: ClaimMessage::ConfirmEpoch(confirmation),
                };
                actions.push(send.into());
            }
        }
    }
}
