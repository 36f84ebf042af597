//! Determines which node follows and directs release orders, and what a node reads of them from the
//! source; see docs/design/releases.md.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{Grant, Order};
use slog::{info, warn};

use super::{Gateway, PEER_DISCOVERY_TIME};
use crate::release::ListedVersions;

/// Maximum time for which a node that has just started holds requests until it knows the orders. Most nodes have read
/// them, or heard of them, within a second.
const MAX_ORDERS_WAIT: Duration = Duration::from_millis(1_500);

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
        self.orders_known.notify_waiters();
    }

    /// Waits until this node knows whether a pool has an order, if it has just started and the pool has engines of
    /// several versions: one of them may be rejected. Once this has taken too long the source may be away for long, and
    /// requests go on.
    pub(crate) async fn until_orders_known(&self, pool: &PoolName) {
        if !self.lacks_order_of(pool) {
            return;
        }
        let now = self.clock().now();
        let awaited_since = self.orders_awaited_since(pool);
        let limit = awaited_since.after(MAX_ORDERS_WAIT);
        if now >= limit {
            return;
        }
        let known = async {
            loop {
                let changed = self.orders_known.notified();
                if !self.lacks_order_of(pool) {
                    return;
                }
                changed.await;
            }
        };
        if self.clock().until(limit, known).await.is_none() {
            self.log_orders_given_up(pool);
        }
    }

    /// When a request first waited for the orders.
    fn orders_awaited_since(&self, pool: &PoolName) -> Timestamp {
        let now = self.clock().now();
        let mut state = self.state_mut();
        *state.releases.awaited_since.get_or_insert_with(|| {
            info!(self.log(), "release_orders_awaited"; "pool" => %pool);
            now
        })
    }

    fn log_orders_given_up(&self, pool: &PoolName) {
        let is_first = !std::mem::replace(&mut self.state_mut().releases.is_given_up, true);
        if is_first {
            warn!(self.log(), "release_orders_unknown"; "pool" => %pool,
                "waited_ms" => MAX_ORDERS_WAIT.as_millis() as u64);
        }
    }

    /// Whether a pool has engines of several versions while it is not known whether one of them was ordered.
    fn lacks_order_of(&self, pool: &PoolName) -> bool {
        let state = self.state();
        let releases = &state.releases;
        if self.settings().releases.is_none() || releases.knows_orders {
            return false;
        }
        releases.of(pool).is_none() && !ListedVersions::of(&state.engines, pool).is_uniform()
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
