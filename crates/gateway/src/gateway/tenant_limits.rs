//! Enforces the limits of tenants; see docs/design/tenant-limits.md.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::TenantName;
use ryerouter_core::quota::{Limit, PeerUsage, Peers, Request, Usage, Verdict};
use slog::info;

use super::{Gateway, GatewayState};
use crate::quotas::{TenantKey, UsageUpdate};
use crate::request::{Draw, Refusal, RefusalReason};
use crate::serve::AcceptedRequest;

/// A node that has received nothing from other nodes for this time does not know what they admit.
/// Between two and three heartbeats.
const UNINFORMED_TIMEOUT: Duration = Duration::from_millis(800);
/// Uptime after which a node has heard from all zones.
const MIN_INFORMED_UPTIME: Duration = Duration::from_millis(1_500);
/// Minimum number of nodes assumed while a node has heard from no other, though others may exist.
const ASSUMED_NODES_WHILE_ALONE: usize = 16;
/// How long a silent node is assumed to admit requests when `max_unconfirmed_age` sets no bound.
const SILENT_NODE_ADMISSION_TIME: Duration = Duration::from_secs(30);

impl Gateway {
    /// Admits a request, or refuses it because its tenant's limit is used up.
    pub(crate) fn admit(&self, request: &AcceptedRequest) -> Result<(), Refusal> {
        let Some((tenant, limit, amount)) = limit_usage(request) else {
            return Ok(());
        };
        let quota_request = Request {
            amount,
            priority: request.route.priority,
            draw: Draw::Limit.of(&request.caller.id),
        };
        let now = self.clock().now();
        let mut state = self.state_mut();
        match state.quotas.decide(tenant, &limit, &quota_request, now) {
            Verdict::Admitted => Ok(()),
            Verdict::Refused {
                retry_after,
                balance,
                share,
                asked,
            } => {
                let per_second = limit.per_second;
                let detail = format!(
                    "tenant '{tenant}': {asked:.0} a second asked for, limit of {per_second:.0}, \
                     {amount:.0} by this request, balance {balance:.0}, share {share:.2}"
                );
                let refused = &self.metrics().over_limit;
                refused.with_label_values(&[tenant.as_str()]).inc();
                Err(Refusal::new(RefusalReason::OverLimit, detail).with_retry_after(retry_after))
            }
        }
    }

    /// Charges an admitted request that is sent once more.
    pub(crate) fn charge_again(&self, request: &AcceptedRequest) {
        if let Some((tenant, limit, amount)) = limit_usage(request) {
            let now = self.clock().now();
            let quotas = &mut self.state_mut().quotas;
            quotas.charge(tenant, &limit, amount, now);
        }
    }

    /// Refunds an admitted request that has not run.
    pub(crate) fn refund(&self, request: &AcceptedRequest) {
        if let Some((tenant, limit, amount)) = limit_usage(request) {
            let now = self.clock().now();
            let quotas = &mut self.state_mut().quotas;
            quotas.refund(tenant, &limit, amount, now);
        }
    }

    /// Recomputes the usage of tenants from the reports of other nodes.
    pub fn refresh_quotas(&self) {
        let now = self.clock().now();
        self.log_new_surges(now);
        let mut state = self.state_mut();
        let near = usages_of_nodes(&state, now);
        let usages = with_other_zones(near.clone(), &state, now);
        let peers = self.limit_peers(&state, now);
        let Some(table) = state.table.clone() else {
            return;
        };
        let limited = table.tenants().filter_map(|tenant| {
            let rate_limit = tenant.rate_limit.as_ref()?;
            Some((&tenant.name, rate_limit.limit))
        });
        state.quotas.refresh(peers, usages, limited, now);
        state.quotas.refresh_zone_totals(&near, now);
    }

    fn log_new_surges(&self, now: Timestamp) {
        let state = self.state();
        for (tenant, surge) in state.quotas.new_surges() {
            let Some(left_out) = self.sampler().admit(now) else {
                return;
            };
            info!(self.log(), "tenant_surge"; "tenant" => %tenant,
                "usual_requests" => surge.usual_requests,
                "usual_asked_elsewhere" => surge.usual_others as u64,
                "age_ms" => now.since(surge.began_at).as_millis() as u64, "left_out" => left_out);
        }
    }

    /// Logs the tenants that are close to their limits.
    pub(crate) fn log_tenants_near_limits(&self) {
        let now = self.clock().now();
        let state = self.state();
        for standing in state.quotas.near_limits(now) {
            info!(self.log(), "tenant_near_limit"; "tenant" => %standing.tenant,
                "limit" => standing.limit.per_second, "balance" => standing.balance as i64,
                "asked" => standing.asked() as u64, "admitted" => standing.admitted() as u64,
                "admitted_here" => standing.own.admitted, "nodes" => standing.peers.nodes,
                "silent" => standing.peers.silent, "uninformed" => standing.peers.is_uninformed);
        }
    }

    /// The nodes that share a limit.
    pub(super) fn limit_peers(&self, state: &GatewayState, now: Timestamp) -> Peers {
        let nodes = state.peers.known_count() + 1;
        let last_heard = state.peers.last_heard_at();
        let has_recent_message = last_heard.is_some_and(|at| now.since(at) < UNINFORMED_TIMEOUT);
        let is_new = self.uptime() < MIN_INFORMED_UPTIME;
        Peers {
            nodes: match last_heard {
                None if nodes > 1 => nodes.max(ASSUMED_NODES_WHILE_ALONE),
                _ => nodes,
            },
            silent: self.silent_nodes(state, now),
            is_uninformed: nodes > 1 && (is_new || !has_recent_message),
            others: PeerUsage::default(),
        }
    }

    /// Number of nodes that are silent and may still admit requests. Silent nodes of other zones
    /// are counted by their own zones, which notice the silence sooner.
    pub(super) fn silent_nodes(&self, state: &GatewayState, now: Timestamp) -> usize {
        self.silent_nodes_within(state, self.silent_node_admission_time(), now)
    }

    /// Number of silent nodes that were heard from within `within`: as counted by this node, or the
    /// sum of the counts of all zones if that is larger.
    pub(super) fn silent_nodes_within(
        &self,
        state: &GatewayState,
        within: Duration,
        now: Timestamp,
    ) -> usize {
        let missed = state.peers.silent_count(within, now);
        let near = state.peers.silent_near_count(within, now);
        missed.max(near + state.zone_traffic.silent_count(now))
    }

    /// How long a silent node, which may only be isolated, can go on admitting requests: until its
    /// configuration has been unconfirmed for too long.
    pub(super) fn silent_node_admission_time(&self) -> Duration {
        let max_age = self.settings().max_unconfirmed_age;
        max_age.unwrap_or(SILENT_NODE_ADMISSION_TIME)
    }

    /// Usage of tenants summed over the nodes of this zone, for the other zones.
    pub(super) fn usages_of_zone(&self, state: &GatewayState, now: Timestamp) -> Vec<UsageUpdate> {
        let mut sums: BTreeMap<TenantKey, Usage> = BTreeMap::new();
        let own = state.quotas.updates(now);
        for UsageUpdate(tenant, usage) in state.peers.usages(now).chain(own) {
            sums.entry(tenant).or_default().add(usage);
        }
        let sums = sums.into_iter();
        sums.map(|(tenant, usage)| {
            let total = Some(Usage::reported_total(state.quotas.zone_total(tenant)));
            UsageUpdate(tenant, Usage { total, ..usage })
        })
        .collect()
    }
}

fn usages_of_nodes(state: &GatewayState, now: Timestamp) -> HashMap<TenantKey, PeerUsage> {
    let mut sums: HashMap<TenantKey, PeerUsage> = HashMap::new();
    for UsageUpdate(tenant, usage) in state.peers.usages(now) {
        sums.entry(tenant).or_default().add_recent(usage);
    }
    sums
}

fn with_other_zones(
    mut sums: HashMap<TenantKey, PeerUsage>,
    state: &GatewayState,
    now: Timestamp,
) -> HashMap<TenantKey, PeerUsage> {
    if state.peers.is_large() {
        let own_zone = sums.clone();
        state.zone_traffic.add_usages_to(&mut sums, now);
        add_silent_zones(&mut sums, &own_zone, state, now);
    }
    sums
}

/// Adds what nodes of zones without recent news may admit: tenants are presumed to ask there for as much per node as in
/// this zone, if that is more than the zone told last. While links are full, news of a zone fail to arrive for seconds,
/// and a surge may have begun there as well.
fn add_silent_zones(
    sums: &mut HashMap<TenantKey, PeerUsage>,
    own_zone: &HashMap<TenantKey, PeerUsage>,
    state: &GatewayState,
    now: Timestamp,
) {
    if own_zone.is_empty() {
        return;
    }
    let near_nodes = state.peers.near_count().max(1) as f64;
    for (zone, nodes) in state.peers.nodes_of_other_zones() {
        if state.zone_traffic.is_heard(zone, now) {
            continue;
        }
        for (tenant, usage) in own_zone {
            let presumed = usage.asked / near_nodes * nodes as f64;
            let told = state.zone_traffic.told_usage(zone, *tenant, now);
            let told = told.map_or(0.0, |usage| f64::from(usage.asked));
            let sum = sums.entry(*tenant).or_default();
            sum.add_presumed((presumed - told).max(0.0));
        }
    }
}

/// The tenant whose limit a request uses, that limit, and the amount.
fn limit_usage(request: &AcceptedRequest) -> Option<(&TenantName, Limit, f64)> {
    let tenant = request.tenant.as_ref()?;
    let rate_limit = tenant.rate_limit.as_ref()?;
    let amount = rate_limit.amount(request.caller.prompt.as_ref());
    Some((&tenant.name, rate_limit.limit, amount))
}
