//! The back ends of a pool, indexed for placement.

use std::collections::BTreeMap;
use std::ops::Range;

use super::{EngineKey, PoolMember};
use crate::identity::DataCentreName;

/// The back ends of a pool that may take new work, by data centre. It is built once per catalog
/// snapshot, so that placing a request neither searches the catalog nor hashes names.
#[derive(Debug, Clone, Default)]
pub struct PoolIndex {
    members: Vec<PoolMember>,
    data_centres: BTreeMap<DataCentreName, Range<usize>>,
    positions: BTreeMap<EngineKey, usize>,
}

impl PoolIndex {
    /// Indexes back ends; their order does not matter.
    pub fn new(mut members: Vec<PoolMember>) -> Self {
        members.sort_by(|left, right| {
            let left = (&left.back_end.data_centre, &left.back_end.name);
            left.cmp(&(&right.back_end.data_centre, &right.back_end.name))
        });
        let mut data_centres: BTreeMap<DataCentreName, Range<usize>> = BTreeMap::new();
        let mut positions = BTreeMap::new();
        for (position, member) in members.iter().enumerate() {
            let data_centre = member.back_end.data_centre.clone();
            data_centres
                .entry(data_centre)
                .or_insert(position..position)
                .end = position + 1;
            positions.insert(member.key, position);
        }
        Self {
            members,
            data_centres,
            positions,
        }
    }

    /// Data centres of the back ends.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.data_centres.keys()
    }

    /// All back ends, ordered by data centre and name.
    pub fn members(&self) -> &[PoolMember] {
        &self.members
    }

    /// Positions among all members of the back ends in these data centres.
    pub fn positions_in<'a>(
        &'a self,
        data_centres: &'a [DataCentreName],
    ) -> impl Iterator<Item = usize> + 'a {
        data_centres
            .iter()
            .filter_map(|data_centre| self.data_centres.get(data_centre))
            .flat_map(Range::clone)
    }

    /// Position of a back end among all members.
    pub fn position(&self, key: EngineKey) -> Option<usize> {
        self.positions.get(&key).copied()
    }
}
