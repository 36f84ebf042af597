//! What work on replaced weights costs.

use std::collections::BTreeMap;

use ryerouter_core::identity::PoolName;

/// Loads that a pool can have paid for without having begun them.
const MOST_PAID: f64 = 4.0;

/// Adds up, for each pool, what requests lose that begin on replaced weights.
///
/// Nobody knows when the next version will be named, so an engine loads early once as much has been
/// lost as its load costs: whatever comes, no more than about twice the least possible is spent (the
/// rule for renting or buying); see docs/design/decisions.md.
#[derive(Debug, Default)]
pub(super) struct StaleWork {
    /// By pool, in loads.
    lost: BTreeMap<PoolName, f64>,
}

impl StaleWork {
    /// Requests lost as much as so many loads cost.
    pub(super) fn note(&mut self, pool: &PoolName, loads: f64) {
        let lost = self.lost.entry(pool.clone()).or_default();
        *lost = (*lost + loads).min(MOST_PAID);
    }

    /// Whole loads that are paid for.
    pub(super) fn paid(&self, pool: &PoolName) -> usize {
        self.lost.get(pool).map_or(0, |lost| lost.floor() as usize)
    }

    /// So many engines begin to load.
    pub(super) fn spend(&mut self, pool: &PoolName, loads: usize) {
        if let Some(lost) = self.lost.get_mut(pool) {
            *lost = (*lost - loads as f64).max(0.0);
        }
    }

    /// What was lost before counts no longer.
    pub(super) fn clear(&mut self) {
        self.lost.clear();
    }
}
