//! Refuses requests that a pool can't begin in time; see docs/design/admission.md.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::admission::shedding::{Load, Pool, Request, Verdict};
use ryerouter_core::identity::PoolName;
use slog::info;

use super::{Gateway, GatewayState};
use crate::catalogue::{PoolProfile, RoutingTable, Tenant};
use crate::placement::Placement;
use crate::request::{Draw, Refusal, RefusalReason};
use crate::serve::AcceptedRequest;
use crate::shedding::{PoolLoadUpdate, WaitingWork};

/// Share of the target latency that plain requests take at least in an engine. The capacity of plain services isn't
/// configured; an estimate that is too high is corrected as soon as requests wait.
const LEAST_SERVICE_TIME_SHARE: f64 = 0.125;
/// Least target latency that decisions go by.
const MIN_TARGET: Duration = Duration::from_millis(10);

impl Gateway {
    /// Admits a request that has been placed, or refuses it because its pool can't begin it in time.
    pub(crate) fn admit_to_pool(
        &self,
        request: &AcceptedRequest,
        placement: &Placement,
    ) -> Result<(), Refusal> {
        if !self.settings().sheds_load {
            return Ok(());
        }
        let now = self.clock().now();
        let state = self.state();
        let tenant = request.tenant.as_deref();
        let work = self.work_of(request, placement, &state);
        let asked = Request {
            work,
            urgency: request.urgency(),
            tenant: tenant.map(|tenant| &tenant.name),
            weight: tenant.map_or(1.0, |tenant| weight_of(tenant, state.table.as_deref())),
            target: request.route.target_latency.max(MIN_TARGET),
            remaining: request.deadline.since(now),
            waited: waited(request),
            draw: Draw::Load.of(&request.caller.id),
        };
        let Verdict::Refused {
            retry_after,
            share,
            outlook,
        } = state.shedders.decide(&request.pool, &asked, now)
        else {
            return Ok(());
        };
        let pool = &request.pool;
        let detail = format!(
            "pool '{pool}' begins {:.0} units of work a second, {:.0} are asked for, {:.0} wait ({} ms), {work:.0} by this \
             request, share {share:.2}",
            outlook.capacity,
            outlook.asked,
            outlook.waiting,
            outlook.wait().as_millis(),
        );
        let refused = &self.metrics().overloaded;
        let priority = request.priority().to_string();
        refused.with_label_values(&[pool.as_str(), &priority]).inc();
        Err(Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(retry_after))
    }

    /// Counts a request as waiting at its pool, from now until an engine begins it.
    pub(crate) fn wait_at_pool(
        &self,
        request: &AcceptedRequest,
        placement: &Placement,
    ) -> Option<WaitingWork> {
        let state = self.state();
        let shedder = state.shedders.shedder(&request.pool)?;
        let work = self.work_of(request, placement, &state);
        drop(state);
        Some(WaitingWork::new(
            shedder,
            self.clock(),
            request.urgency(),
            work,
            request.route.target_latency,
        ))
    }

    /// Work that a request brings. For a prompt it is the engine time that it takes, as the number of tokens that an engine
    /// prefills in this time: the unread tokens, and a slot for as long as the answer is decoded. A plain request counts as
    /// one.
    fn work_of(
        &self,
        request: &AcceptedRequest,
        placement: &Placement,
        state: &GatewayState,
    ) -> f64 {
        let Some(prompt) = &request.caller.prompt else {
            return 1.0;
        };
        let prices = &self.settings().prices;
        let table = state.table.as_ref();
        let profile = table.and_then(|table| table.pool(&request.pool)?.engine.as_ref());
        let slots = profile.map_or(1, |profile| profile.slots.max(1));
        let output = f64::from(prompt.likely_output_tokens());
        let decode_ms = output * prices.decode_token_ms / f64::from(slots);
        f64::from(placement.unread_tokens) + decode_ms * prices.prefill_tokens_per_ms
    }

    /// Priority that engines are told. While much work waits at the pool, it also orders the requests of equally urgent
    /// tenants.
    pub(crate) fn engine_priority(&self, request: &AcceptedRequest) -> u8 {
        let state = self.state();
        let is_under_pressure = state.shedders.is_under_pressure(&request.pool);
        let table = state.table.as_ref().filter(|_| is_under_pressure);
        table.map_or(request.priority(), |table| {
            table.urgency_ranks().rank(request.urgency())
        })
    }

    /// Recomputes the nominal capacities of the pools from the engines that take work.
    pub fn refresh_pool_capacities(&self) {
        if !self.settings().sheds_load {
            return;
        }
        let mut state = self.state_mut();
        let Some(table) = state.table.clone() else {
            return;
        };
        let pools = table.pools().filter_map(|profile| {
            let pool = self.shed_pool(&state, &table, profile)?;
            Some((profile.name.clone(), pool))
        });
        let pools: Vec<_> = pools.collect();
        state.shedders.set_pools(pools.into_iter());
    }

    /// A pool with the nominal capacity of the engines that take work; `None` without any route.
    fn shed_pool(
        &self,
        state: &GatewayState,
        table: &RoutingTable,
        profile: &PoolProfile,
    ) -> Option<Pool> {
        let shortest_target = table.shortest_target(&profile.name)?.max(MIN_TARGET);
        let engines = state.engines.of_pool(&profile.name);
        let working = engines.filter(|engine| engine.is_in_service() && engine.health.is_serving());
        let (parallelism, per_second) = match profile.engine {
            Some(_) => {
                // An engine prefills one prompt at a time.
                let engines = working.count() as f64;
                (engines, self.settings().prices.prefill_tokens_per_ms * 1e3)
            }
            None => {
                let slots: u32 = working.map(|engine| engine.entry.slots).sum();
                let least_time = shortest_target.mul_f64(LEAST_SERVICE_TIME_SHARE);
                let per_slot = 1.0 / least_time.as_secs_f64().max(f64::MIN_POSITIVE);
                (f64::from(slots), per_slot)
            }
        };
        Some(Pool {
            nominal: parallelism * per_second,
            parallelism,
            shortest_target,
        })
    }

    /// Recomputes the load of the pools from the reports of other nodes.
    pub fn refresh_pool_loads(&self) {
        if !self.settings().sheds_load {
            return;
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        let others = self.pool_loads_of_others(&state, now);
        let peers = self.limit_peers(&state, now);
        let shedders = &mut state.shedders;
        shedders.set_peers(peers.nodes, peers.is_uninformed, others, now);
    }

    /// Load of the pools, summed over the nodes of this zone, for the other zones.
    pub(super) fn pool_loads_of_zone(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<PoolLoadUpdate> {
        let own = state.shedders.updates(now);
        let mut sums: BTreeMap<&PoolName, Load> = BTreeMap::new();
        for update in state.peers.pool_loads(now).chain(&own) {
            update.add_to(sums.entry(&update.0).or_default());
        }
        let sums = sums.into_iter();
        sums.map(|(pool, load)| PoolLoadUpdate::new(pool, &load))
            .collect()
    }

    /// Load of the pools at all other nodes. In a wide zone, in which nodes hear few others, its reader sums up the reports.
    fn pool_loads_of_others(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> HashMap<PoolName, Load> {
        let own_zone = &self.settings().identity.zone;
        let reader_sums = state.peers.is_wide() && self.reader(state, now).is_some();
        let near = state.peers.pool_loads(now).filter(|_| !reader_sums);
        let is_large = state.peers.is_large();
        let zones = state.zone_traffic.pool_loads(now);
        let zones = zones.filter(|(zone, _)| is_large && (reader_sums || *zone != own_zone));
        let mut sums: HashMap<PoolName, Load> = HashMap::new();
        for update in near.chain(zones.map(|(_, update)| update)) {
            update.add_to(sums.entry(update.0.clone()).or_default());
        }
        sums
    }

    /// Updates the metrics of the pools' load, and logs the pools that have refused requests since the last call.
    pub(crate) fn report_pool_loads(&self) {
        let now = self.clock().now();
        let state = self.state();
        for (pool, shedder) in state.shedders.pools() {
            let report = shedder.take_report(now);
            let wait = &self.metrics().pool_wait_ms;
            let wait = wait.with_label_values(&[pool.as_str()]);
            wait.set(report.wait().as_millis() as i64);
            if report.refused > 0 {
                info!(self.log(), "pool_load"; "pool" => %pool,
                    "asked" => report.total.asked as u64, "begun" => report.total.begun as u64,
                    "waiting" => report.total.waiting as u64, "capacity" => report.capacity as u64,
                    "wait_ms" => report.wait().as_millis() as u64,
                    "begun_here" => report.own.begun as u64,
                    "waiting_here" => report.own.waiting as u64,
                    "decided_here" => report.decided, "refused_here" => report.refused,
                    "nodes" => report.nodes, "uninformed" => report.is_uninformed);
            }
        }
    }
}

/// For how long the caller has tried, if its deadline is shorter than the route allows.
fn waited(request: &AcceptedRequest) -> Duration {
    let timeout = request.caller.timeout.unwrap_or(request.route.timeout);
    request.route.timeout.saturating_sub(timeout)
}

/// The weight of a tenant: its limit, if all tenants have one, or else the same for all.
fn weight_of(tenant: &Tenant, table: Option<&RoutingTable>) -> f64 {
    let all_limited = table.is_some_and(RoutingTable::limits_all_tenants);
    let limit = tenant.rate_limit.as_ref().filter(|_| all_limited);
    limit.map_or(1.0, |limit| limit.limit.per_second)
}
