//! Reserves engines for prefill-heavy requests; see docs/design/shifted.md.

use std::collections::{BTreeMap, HashMap};

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use slog::info;

use super::{Gateway, GatewayState};
use crate::placement::{
    Placement, PlacementRequest, PrefillDemandUpdate, PrefillSplit, is_prefill_heavy,
};

impl Gateway {
    /// Counts the prefill tokens of a request that was assigned to an engine, if the request is
    /// prefill-heavy.
    pub(super) fn count_prefill_tokens(
        &self,
        request: &PlacementRequest<'_>,
        placement: &Placement,
    ) {
        let Some(prompt) = request.prompt else {
            return;
        };
        if is_prefill_heavy(prompt, &self.settings().prices) {
            let now = self.clock().now();
            let demand = &mut self.state_mut().prefill_demand;
            demand.count(request.pool, placement.unread_tokens, now);
        }
    }

    /// Prefill tokens of requests for each pool, summed over the nodes of this zone, for the other
    /// zones.
    pub(super) fn prefill_of_zone(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<PrefillDemandUpdate> {
        let mut sums: BTreeMap<PoolName, u32> = BTreeMap::new();
        let own = state.prefill_demand.updates(now);
        for PrefillDemandUpdate(pool, tokens) in state.peers.reading(now).chain(&own) {
            *sums.entry(pool.clone()).or_default() += tokens;
        }
        let sums = sums.into_iter();
        sums.map(|(pool, tokens)| PrefillDemandUpdate(pool, tokens))
            .collect()
    }

    /// Recomputes the split of each pool's engines from the demand at all nodes.
    pub fn refresh_prefill_splits(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let others = prefill_of_others(&state, now);
        state.prefill_demand.set_others(others);
        let Some(table) = state.table.clone() else {
            return;
        };
        // Pools whose streams may pause for any time need no reserved engines.
        let pools = table
            .pools()
            .filter(|pool| pool.engine.is_some() && table.longest_pause(&pool.name).is_some());
        let split = pools.filter_map(|pool| {
            let prefill_split = self.split(&state, &pool.name, now)?;
            Some((pool.name.clone(), prefill_split))
        });
        let prefill_splits = split.collect();
        state.prefill_splits = prefill_splits;
    }

    /// Splits the engines of a pool, where that helps.
    fn split(&self, state: &GatewayState, pool: &PoolName, now: Timestamp) -> Option<PrefillSplit> {
        let tokens = state.prefill_demand.per_second(pool, now);
        let known = state.prefill_splits.get(pool);
        let prices = &self.settings().prices;
        let filter = self.pool_filter(state, pool, now);
        let was_split = known.is_some();
        let of_pool = state.engines.of_pool(pool);
        let engines = of_pool.filter(|engine| filter.admits(&engine.entry));
        let prefill_split = PrefillSplit::from_engines(engines, tokens, prices, was_split);
        if known != prefill_split.as_ref() {
            info!(self.log(), "engines_divided"; "pool" => %pool,
                "reading" => prefill_split.as_ref().map(|prefill_split| prefill_split.count(&state.engines)),
                "tokens_per_s" => tokens as u64);
        }
        prefill_split
    }
}

fn prefill_of_others(state: &GatewayState, now: Timestamp) -> HashMap<PoolName, f64> {
    let mut sums: HashMap<PoolName, f64> = HashMap::new();
    let is_large = state.peers.is_large();
    let far = state.zone_traffic.reading(now).filter(|_| is_large);
    for PrefillDemandUpdate(pool, tokens) in state.peers.reading(now).chain(far) {
        *sums.entry(pool.clone()).or_default() += f64::from(*tokens);
    }
    sums
}
