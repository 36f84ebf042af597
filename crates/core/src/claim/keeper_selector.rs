//! Selection of keepers among the live nodes.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::{NodeName, ZoneName};

use super::KeeperGroup;

/// Selects keepers so that each group is spread over zones and all nodes belong to about the same
/// number of groups.
pub(super) struct KeeperSelector<'a> {
    alive: &'a BTreeMap<NodeName, ZoneName>,
    groups_served: BTreeMap<NodeName, usize>,
}

impl<'a> KeeperSelector<'a> {
    pub fn new(alive: &'a BTreeMap<NodeName, ZoneName>, groups: &[KeeperGroup]) -> Self {
        let mut groups_served = BTreeMap::new();
        for keeper in groups.iter().flat_map(|group| &group.keepers) {
            *groups_served.entry(keeper.clone()).or_default() += 1;
        }
        Self {
            alive,
            groups_served,
        }
    }

    /// Adds nodes to `keepers` until there are `size` of them or no live node is left.
    pub fn fill(&mut self, group_index: usize, keepers: &mut Vec<NodeName>, size: usize) {
        while keepers.len() < size {
            let Some(keeper) = self.best(group_index, keepers) else {
                return;
            };
            *self.groups_served.entry(keeper.clone()).or_default() += 1;
            keepers.push(keeper);
        }
    }

    fn best(&self, group_index: usize, keepers: &[NodeName]) -> Option<NodeName> {
        self.alive
            .iter()
            .filter(|(name, _)| !keepers.contains(name))
            .min_by_key(|(name, zone)| {
                let keepers_in_zone = keepers
                    .iter()
                    .filter(|keeper| self.alive.get(*keeper) == Some(zone))
                    .count();
                let served = self.groups_served.get(*name).copied().unwrap_or_default();
                let tie_breaker = xxh3_64_with_seed(name.as_str().as_bytes(), group_index as u64);
                (keepers_in_zone, served, tie_breaker)
            })
            .map(|(name, _)| name.clone())
    }
}
