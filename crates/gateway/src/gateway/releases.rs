//! Grants, counts and engines of a release, for its director and for the other nodes; see
//! docs/design/releases.md.

use std::time::Duration;

use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{
    Counts, Fleet, Grant, Order, Progress, RejectedVersions, Settings, Stage,
};
use slog::info;

use super::release_traffic::{note_all_replaced, note_replaced};
use super::{Gateway, GatewayState};
use crate::engines::Engine;

impl Gateway {
    /// Applies a grant of the director on this node and publishes it to the others; a new stage is
    /// sent to every node at once.
    pub fn publish_grant(&self, grant: Grant) {
        let mut state = self.state_mut();
        let pool = grant.order.pool.clone();
        let is_new_stage = self.apply_grant(&mut state, grant, Duration::ZERO);
        if is_new_stage && state.peers.is_large() {
            state.releases.urgent.insert(pool);
        }
        drop(state);
        if is_new_stage {
            self.request_peer_send();
        }
    }

    /// Applies a grant that the director gave `age` ago; returns whether it starts another stage.
    pub(super) fn apply_grant(
        &self,
        state: &mut GatewayState,
        grant: Grant,
        age: Duration,
    ) -> bool {
        let now = self.clock().now();
        let pool = grant.order.pool.clone();
        let before = state.releases.of(&pool);
        let before = before.map(|known| (known.grant.order.clone(), known.grant.stage));
        let after = (grant.order.clone(), grant.stage);
        let (share, fence, elapsed) = (grant.share, grant.fence, grant.elapsed);
        let is_accepted = state.releases.apply(grant, now.before(age), now);
        // A node that has followed the release knows that all other versions have been replaced,
        // including those whose engines started recently.
        let has_followed = before
            .as_ref()
            .is_some_and(|(order, stage)| *order == after.0 && !stage.is_final());
        if let Some(known) = state.releases.of_mut(&pool) {
            if has_followed && after.1 == Stage::Completed {
                note_all_replaced(known, &state.engines);
            }
            note_replaced(known, &state.engines, now);
        }
        let is_new_stage = is_accepted && before.as_ref() != Some(&after);
        if is_new_stage {
            self.orders_known.notify_waiters();
            let (order, stage) = after;
            info!(self.log(), "release_known"; "pool" => %pool, "target" => order.target,
                "stage" => %stage, "before" => before.map(|(_, stage)| stage.to_string()),
                "share" => share, "fence" => fence, "age_ms" => age.as_millis() as u64,
                "elapsed_ms" => elapsed.as_millis() as u64);
        }
        is_new_stage
    }

    /// The newest known grant of a pool, and its age.
    pub fn known_grant(&self, pool: &PoolName) -> Option<(Grant, Duration)> {
        let now = self.clock().now();
        let state = self.state();
        let known = state.releases.of(pool)?;
        Some((known.grant.clone(), now.since(known.granted_at)))
    }

    /// The other versions of an order's pool that are rejected; `None` if this node does not know the order.
    pub fn rejected_versions(&self, order: &Order) -> Option<RejectedVersions> {
        let state = self.state();
        let known = state.releases.of(&order.pool);
        let known = known.filter(|known| known.grant.order == *order)?;
        Some(known.rejected.clone())
    }

    /// The progress of a release that this node takes over as director, if it knows of the release.
    pub fn resumed_release(&self, order: &Order, settings: &Settings) -> Option<Progress> {
        let now = self.clock().now();
        let state = self.state();
        let known = state.releases.of(&order.pool);
        let known = known.filter(|known| known.grant.order == *order)?;
        Some(known.resume(settings.clone(), now))
    }

    /// Counts of the responses that all nodes have seen in a release, as far as reported.
    pub fn release_counts(&self, order: &Order) -> Counts {
        let state = self.state();
        let is_large = state.peers.is_large();
        let known = state.releases.of(&order.pool);
        let known = known.filter(|known| known.grant.order == *order);
        known.map(|known| known.total(is_large)).unwrap_or_default()
    }

    /// Numbers of usable engines of the target version and of the other versions, and the load that
    /// remains at the latter, by which the director decides about a release.
    pub fn release_fleet(&self, order: &Order) -> Fleet {
        let now = self.clock().now();
        let state = self.state();
        let engines = state.engines.of_pool(&order.pool);
        let (target, present): (Vec<_>, Vec<_>) =
            engines.partition(|engine| engine.entry.software == order.target);
        let able = |engines: &[&Engine]| {
            let able = engines.iter().filter(|engine| engine.takes_work(now));
            able.count()
        };
        let running = present.iter().map(|engine| engine.load().requests);
        let known = state.releases.of(&order.pool);
        let is_rejected = |engine: &&&Engine| {
            known.is_some_and(|known| known.rejected.contains(&engine.entry.software))
        };
        let serving: Vec<_> = present
            .iter()
            .filter(|engine| !is_rejected(engine))
            .copied()
            .collect();
        let table = state.table.as_ref();
        let max_request_duration =
            table.map_or(Duration::ZERO, |table| table.longest_timeout(&order.pool));
        // A node that receives nothing from the director sends no new requests to the target
        // version once its grant has expired.
        let lifetime = self.settings().releases.as_ref();
        let lifetime = lifetime.map_or(Duration::ZERO, |settings| settings.grant_lifetime());
        let within = max_request_duration + lifetime;
        Fleet {
            present: able(&serving),
            target: able(&target),
            running_at_present: running.sum(),
            has_silent_nodes: self.silent_nodes_within(&state, within, now) > 0,
            max_request_duration,
        }
    }
}
