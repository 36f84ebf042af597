//! The back ends of a pool, ready for placement.

use std::collections::BTreeMap;

use super::{EngineKey, PoolMember};
use crate::identity::DataCentreName;

/// The back ends of a pool that may take new work, by data centre. It is built once for each
/// snapshot, so that placing a request neither searches the catalog nor hashes names.
#[derive(Debug, Clone, Default)]
pub struct PoolIndex {
    sites: BTreeMap<DataCentreName, Vec<PoolMember>>,
    site_of: BTreeMap<EngineKey, (DataCentreName, usize)>,
}

impl PoolIndex {
    /// Adds a back end.
    pub fn add(&mut self, member: PoolMember) {
        let site = member.back_end.data_centre.clone();
        let members = self.sites.entry(site.clone()).or_default();
        self.site_of.insert(member.key, (site, members.len()));
        members.push(member);
    }

    /// Its data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.sites.keys()
    }

    /// Its back ends in one data centre, in order of their names.
    pub fn members(&self, data_centre: &DataCentreName) -> &[PoolMember] {
        self.sites.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Position of a back end among the members of a data centre, if it is one of them.
    pub fn position(&self, data_centre: &DataCentreName, key: EngineKey) -> Option<usize> {
        self.site_of
            .get(&key)
            .filter(|(site, _)| site == data_centre)
            .map(|(_, position)| *position)
    }

    /// Back ends in all data centres.
    pub fn len(&self) -> usize {
        self.site_of.len()
    }

    /// Whether no back end may take new work.
    pub fn is_empty(&self) -> bool {
        self.site_of.is_empty()
    }
}
