//! Dividing engines by what requests mostly do; see docs/design/shifted.md.

use std::collections::{BTreeMap, HashMap};

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use slog::info;

use super::{Gateway, GatewayState};
use crate::placement::{
    Placement, PlacementRequest, PrefillDemandUpdate, PrefillSplit, is_prefill_heavy,
};

impl Gateway {
    /// A request was given an engine.
    pub(super) fn count_reading(&self, request: &PlacementRequest<'_>, placement: &Placement) {
        let Some(prompt) = request.prompt else {
            return;
        };
        if is_prefill_heavy(prompt, &self.settings().prices) {
            let now = self.clock().now();
            let demand = &mut self.state_mut().prefill_demand;
            demand.count(request.pool, placement.unread_tokens, now);
        }
    }

    /// What the nodes of this zone bring pools to read, for the others.
    pub(super) fn reading_of_zone(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<PrefillDemandUpdate> {
        let mut sums: BTreeMap<PoolName, u32> = BTreeMap::new();
        let own = state.prefill_demand.updates(now);
        for PrefillDemandUpdate(pool, tokens) in state.peers.reading(now).chain(&own) {
            *sums.entry(pool.clone()).or_default() += tokens;
        }
        let told = sums.into_iter();
        told.map(|(pool, tokens)| PrefillDemandUpdate(pool, tokens))
            .collect()
    }

    /// Divides the engines of each pool anew, by what all nodes bring them.
    pub fn refresh_divisions(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let others = reading_of_others(&state, now);
        state.prefill_demand.set_others(others);
        let Some(table) = state.table.clone() else {
            return;
        };
        // Streams that may pause for any time need no engines of their own.
        let pools = table
            .pools()
            .filter(|pool| pool.engine.is_some() && table.longest_pause(&pool.name).is_some());
        let divided = pools.filter_map(|pool| {
            let prefill_split = self.divide(&state, &pool.name, now)?;
            Some((pool.name.clone(), prefill_split))
        });
        let prefill_splits = divided.collect();
        state.prefill_splits = prefill_splits;
    }

    /// Divides the engines of a pool, where that helps.
    fn divide(
        &self,
        state: &GatewayState,
        pool: &PoolName,
        now: Timestamp,
    ) -> Option<PrefillSplit> {
        let tokens = state.prefill_demand.per_second(pool, now);
        let known = state.prefill_splits.get(pool);
        let prices = &self.settings().prices;
        let intake = self.intake_of_all(state, pool, now);
        let was_divided = known.is_some();
        let of_pool = state.engines.of_pool(pool);
        let engines = of_pool.filter(|engine| intake.admits(&engine.entry));
        let prefill_split = PrefillSplit::from_engines(engines, tokens, prices, was_divided);
        if known != prefill_split.as_ref() {
            info!(self.log(), "engines_divided"; "pool" => %pool,
                "reading" => prefill_split.as_ref().map(|prefill_split| prefill_split.count(&state.engines)),
                "tokens_per_s" => tokens as u64);
        }
        prefill_split
    }
}

fn reading_of_others(state: &GatewayState, now: Timestamp) -> HashMap<PoolName, f64> {
    let mut sums: HashMap<PoolName, f64> = HashMap::new();
    let is_large = state.peers.is_large();
    let far = state.zone_traffic.reading(now).filter(|_| is_large);
    for PrefillDemandUpdate(pool, tokens) in state.peers.reading(now).chain(far) {
        *sums.entry(pool.clone()).or_default() += f64::from(*tokens);
    }
    sums
}
