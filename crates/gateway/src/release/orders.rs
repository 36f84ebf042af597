//! The director's copy of the orders in the source.

use std::collections::BTreeMap;

use ryerouter_core::identity::PoolName;

use super::KnownOrder;
use crate::source::{OrderedRelease, ReleaseBatch, ReleaseChange, ReleaseList};

/// The director's copy of the orders in the source.
///
/// Results of lists, watches, reads and record calls may arrive in any order. If two concern the same pool, the one
/// with the higher revision applies.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    known: BTreeMap<PoolName, KnownOrder>,
    /// Revision up to which all changes are known; `None` before the first list.
    revision: Option<u64>,
}

impl Orders {
    /// Revision up to which all changes are known; `None` before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The order of a pool.
    pub fn of(&self, pool: &PoolName) -> Option<&KnownOrder> {
        self.known.get(pool)
    }

    /// All orders, ordered by pool.
    pub fn iter(&self) -> impl Iterator<Item = &KnownOrder> {
        self.known.values()
    }

    /// Whether any order belongs to a release that has not ended.
    pub fn has_open(&self) -> bool {
        self.iter().any(KnownOrder::is_open)
    }

    /// Applies a complete list of the orders.
    pub fn apply_list(&mut self, list: ReleaseList) {
        let pools: Vec<_> = list.releases.iter().map(pool_of).collect();
        self.known
            .retain(|pool, known| known.release.revision > list.revision || pools.contains(pool));
        for release in list.releases {
            self.apply(release);
        }
        self.revision = Some(list.revision);
    }

    /// Applies a batch of changes.
    pub fn apply_batch(&mut self, batch: ReleaseBatch) {
        for change in batch.changes {
            match change {
                ReleaseChange::Ordered(release) => self.apply(release),
                ReleaseChange::Gone(pool) => self.remove(&pool, batch.revision),
            }
        }
        self.revision = self.revision.max(Some(batch.revision));
    }

    /// Applies the result of reading the order of one pool; `revision` is the known revision of the order when the
    /// call was made.
    pub fn apply_read(&mut self, pool: &PoolName, revision: u64, release: Option<OrderedRelease>) {
        match release {
            Some(release) if self.is_current(&release) => self.apply(release),
            Some(_) => {}
            None => self.remove(pool, revision),
        }
    }

    /// Applies the version of an order that resulted from recording its outcome.
    pub fn apply_recorded(&mut self, release: OrderedRelease) {
        if !self.is_current(&release) {
            return;
        }
        match self.known.get_mut(&release.order.pool) {
            Some(known) => known.apply_recorded(release),
            None => self.apply(release),
        }
    }

    /// Removes all orders and the revision.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether the order still exists, as far as this node knows. A late answer must not restore an order that was
    /// removed in the meantime.
    fn is_current(&self, release: &OrderedRelease) -> bool {
        let is_known = self.known.contains_key(&release.order.pool);
        is_known || Some(release.revision) > self.revision
    }

    fn apply(&mut self, release: OrderedRelease) {
        match self.known.get_mut(&release.order.pool) {
            Some(known) => known.apply(release),
            None => {
                let pool = pool_of(&release);
                self.known.insert(pool, KnownOrder::new(release));
            }
        }
    }

    fn remove(&mut self, pool: &PoolName, revision: u64) {
        let known = self.known.get(pool);
        if known.is_some_and(|known| known.release.revision <= revision) {
            self.known.remove(pool);
        }
    }
}

fn pool_of(release: &OrderedRelease) -> PoolName {
    release.order.pool.clone()
}
