//! The releases that a node knows.

use std::collections::BTreeMap;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::Grant;

use super::KnownRelease;

/// The releases that a node knows: the newest of each pool.
#[derive(Debug, Default)]
pub struct Table {
    releases: BTreeMap<PoolName, KnownRelease>,
    /// Whether all orders are known, from the source or from a node that knew them: a pool without a
    /// release then has no order.
    pub knows_orders: bool,
}

impl Table {
    /// Takes a grant that the director gave at `granted_at`, at the latest; `false` when a newer one of the
    /// same pool is known.
    pub fn take(&mut self, grant: Grant, granted_at: Timestamp) -> bool {
        let pool = grant.order.pool.clone();
        match self.releases.get_mut(&pool) {
            Some(known) if !grant.supersedes(&known.grant) => {
                return false;
            }
            Some(known) if known.grant.order == grant.order => {
                known.grant = grant;
                known.granted_at = granted_at;
            }
            _ => {
                let known = KnownRelease::new(grant, granted_at);
                self.releases.insert(pool, known);
            }
        }
        true
    }

    /// The release of a pool.
    pub fn of(&self, pool: &PoolName) -> Option<&KnownRelease> {
        self.releases.get(pool)
    }

    /// The same, to change it.
    pub fn of_mut(&mut self, pool: &PoolName) -> Option<&mut KnownRelease> {
        self.releases.get_mut(pool)
    }

    /// All releases, in order of their pools.
    pub fn iter(&self) -> impl Iterator<Item = &KnownRelease> {
        self.releases.values()
    }
}
