//! Releases of engine software: what the director of one needs of the gateway, and tells it.

use std::time::Duration;

use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{Counts, Fleet, Grant, Order};

use super::Gateway;

impl Gateway {
    /// The director gives a grant: this node goes by it, and tells the others.
    pub fn publish_grant(&self, grant: Grant) {
        let now = self.clock().now();
        self.state_mut().releases.take(grant, now);
        self.tell_peers_soon();
    }

    /// The newest grant of a pool that this node knows, and its age.
    pub fn known_grant(&self, pool: &PoolName) -> Option<(Grant, Duration)> {
        let now = self.clock().now();
        let state = self.state();
        let known = state.releases.of(pool)?;
        Some((known.grant.clone(), now.since(known.granted_at)))
    }

    /// What all nodes have seen of the answers in a release, as far as they have told.
    pub fn release_counts(&self, order: &Order) -> Counts {
        let state = self.state();
        let known = state.releases.of(&order.pool);
        let known = known.filter(|known| known.grant.order == *order);
        known.map(|known| known.ledger.total()).unwrap_or_default()
    }

    /// The engines of a release.
    pub fn release_fleet(&self, order: &Order) -> Fleet {
        let now = self.clock().now();
        let state = self.state();
        let engines = state.engines.of_pool(&order.pool);
        let (target, present): (Vec<_>, Vec<_>) =
            engines.partition(|engine| engine.entry.software == order.target);
        let able = |engines: &[&crate::engines::Engine]| {
            let able = engines.iter().filter(|engine| engine.takes_work(now));
            able.count()
        };
        let running = present.iter().map(|engine| engine.load().requests);
        let table = state.table.as_ref();
        Fleet {
            present: able(&present),
            target: able(&target),
            running_at_present: running.sum(),
            has_silent_nodes: self.silent_nodes(&state, now) > 0,
            longest_request: table
                .map_or(Duration::ZERO, |table| table.longest_timeout(&order.pool)),
        }
    }

    /// Fencing number of the lease of orders, while this node holds it.
    pub fn order_fence(&self) -> Option<u64> {
        self.state().order_fence
    }
}
