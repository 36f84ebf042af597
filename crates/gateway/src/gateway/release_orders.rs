//! Determines which node follows and directs release orders, and what a node reads of them from the
//! source; see docs/design/releases.md.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::release::{Grant, Order};

use super::{Gateway, PEER_DISCOVERY_TIME};

impl Gateway {
    /// Whether this node follows a release order that is not finished, for which the order lease is
    /// needed.
    pub fn has_release_work(&self) -> bool {
        self.state().has_release_work
    }

    /// Records whether this node follows a release order that is not finished.
    pub fn note_release_work(&self, has_work: bool) {
        self.state_mut().has_release_work = has_work;
    }

    /// Records that all release orders have been read.
    pub fn note_orders_known(&self) {
        self.state_mut().releases.knows_orders = true;
    }

    /// Fencing number of the order lease, checked before each use: this process may have been
    /// paused since it last checked the lease.
    pub fn valid_order_fence(&self) -> Option<u64> {
        let now = self.clock().now();
        let state = self.state();
        let is_valid = state.order_lease_until.is_some_and(|until| now < until);
        state.order_fence.filter(|_| is_valid)
    }

    /// Whether this node is the one that follows release orders.
    pub fn may_follow_orders(&self) -> bool {
        !self.is_leaving() && self.should_give_orders()
    }

    /// Whether this node would know by now of another one that follows release orders. Without this
    /// check, nodes that all start at once would each ask the source.
    pub fn knows_order_candidates(&self) -> bool {
        let state = self.state();
        let is_settled = self.uptime() >= PEER_DISCOVERY_TIME || state.peers.is_settled();
        is_settled || state.gives_orders
    }

    /// The newest grant of each pool.
    pub fn known_grants(&self) -> Vec<Grant> {
        let state = self.state();
        let releases = state.releases.iter();
        releases.map(|known| known.grant.clone()).collect()
    }

    /// Grants that have expired without being final, because no director has renewed them for long.
    pub fn expired_grants(&self) -> Vec<Grant> {
        let Some(settings) = &self.settings().releases else {
            return Vec::new();
        };
        let now = self.clock().now();
        let state = self.state();
        let releases = state.releases.iter();
        let expired =
            releases.filter(|known| !known.is_grant_valid(settings.grant_lifetime(), now));
        expired.map(|known| known.grant.clone()).collect()
    }

    /// Applies a grant that the source has recorded.
    pub fn apply_recorded_grant(&self, grant: Grant) {
        let mut state = self.state_mut();
        self.apply_grant(&mut state, grant, Duration::ZERO);
    }

    /// Whether a pool has engines of several versions while it is not known which of them are
    /// ordered.
    pub fn lacks_orders(&self) -> bool {
        let state = self.state();
        if state.releases.knows_orders || self.is_leaving() {
            return false;
        }
        let mut pools = BTreeMap::new();
        state.engines.iter().any(|engine| {
            let software = &engine.entry.software;
            let first = pools.entry(&engine.entry.pool).or_insert(software);
            *first != software
        })
    }

    /// Whether engines of the target version are listed.
    pub fn has_target_engines(&self, order: &Order) -> bool {
        let state = self.state();
        let mut engines = state.engines.of_pool(&order.pool);
        engines.any(|engine| engine.entry.software == order.target)
    }
}
