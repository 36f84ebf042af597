//! Holding tenants to their limits; see docs/design/tenant-limits.md.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::TenantName;
use ryerouter_core::quota::{Ask, Limit, Others, Peers, Usage, Verdict};
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::{Gateway, GatewayState};
use crate::quotas::{TenantKey, UsageNews};
use crate::request::{Refusal, RefusalReason};
use crate::serve::AcceptedRequest;

/// A node that has heard nobody for so long does not know what the others admit: between two and
/// three heartbeats.
const UNINFORMED_TIMEOUT: Duration = Duration::from_millis(800);
/// A node that was just started has heard of all zones after so long.
const MIN_INFORMED_UPTIME: Duration = Duration::from_millis(1_500);
/// Nodes that a node takes to be there while it has heard of nobody, though there may be others.
const ASSUMED_NODES_WHILE_ALONE: usize = 16;
/// Silent nodes may admit requests for so long, when no proof that their keys are current ends that.
const SILENT_NODE_ADMISSION_TIME: Duration = Duration::from_secs(30);

impl Gateway {
    /// Admits a request, or refuses it because its tenant's limit is used up.
    pub(crate) fn admit(&self, request: &AcceptedRequest) -> Result<(), Refusal> {
        let Some((tenant, limit, amount)) = limit_usage(request) else {
            return Ok(());
        };
        let ask = Ask {
            amount,
            priority: request.route.priority,
            draw: draw_of(&request.caller.id),
        };
        let now = self.clock().now();
        let mut state = self.state_mut();
        match state.quotas.decide(tenant, &limit, &ask, now) {
            Verdict::Admitted => Ok(()),
            Verdict::Refused {
                come_back_after,
                balance,
                share,
                asked,
            } => {
                let per_second = limit.per_second;
                let detail = format!(
                    "tenant '{tenant}': {asked:.0} a second of {per_second:.0} asked for, \
                     {amount:.0} here, balance {balance:.0}, share {share:.2}"
                );
                let refused = &self.metrics().over_limit;
                refused.with_label_values(&[tenant.as_str()]).inc();
                Err(Refusal::new(RefusalReason::OverLimit, detail).come_back_after(come_back_after))
            }
        }
    }

    /// A request that was admitted runs once more.
    pub(crate) fn charge_again(&self, request: &AcceptedRequest) {
        if let Some((tenant, limit, amount)) = limit_usage(request) {
            let now = self.clock().now();
            let quotas = &mut self.state_mut().quotas;
            quotas.charge(tenant, &limit, amount, now);
        }
    }

    /// A request that was admitted has not run.
    pub(crate) fn refund(&self, request: &AcceptedRequest) {
        if let Some((tenant, limit, amount)) = limit_usage(request) {
            let now = self.clock().now();
            let quotas = &mut self.state_mut().quotas;
            quotas.refund(tenant, &limit, amount, now);
        }
    }

    /// Sums up what the other nodes told of tenants.
    pub fn refresh_quotas(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let usages = other_usages(&state, now);
        let peers = self.limit_peers(&state, now);
        let Some(table) = state.table.clone() else {
            return;
        };
        let limited = table.tenants().filter_map(|tenant| {
            let rate_limit = tenant.rate_limit.as_ref()?;
            Some((&tenant.name, rate_limit.limit))
        });
        state.quotas.refresh(peers, usages, limited, now);
    }

    /// Logs the tenants that come near their limits.
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

    /// The nodes that a limit over all of them is held with.
    pub(super) fn limit_peers(&self, state: &GatewayState, now: Timestamp) -> Peers {
        let nodes = state.peers.known_count() + 1;
        let last_heard = state.peers.last_heard_at();
        let is_heard = last_heard.is_some_and(|at| now.since(at) < UNINFORMED_TIMEOUT);
        let is_new = self.uptime() < MIN_INFORMED_UPTIME;
        Peers {
            nodes: match last_heard {
                None if nodes > 1 => nodes.max(ASSUMED_NODES_WHILE_ALONE),
                _ => nodes,
            },
            silent: self.silent_nodes(state, now),
            is_uninformed: nodes > 1 && (is_new || !is_heard),
            others: Others::default(),
        }
    }

    /// Nodes that are not heard and may still admit requests. Those of other zones are missed sooner
    /// by their own.
    pub(super) fn silent_nodes(&self, state: &GatewayState, now: Timestamp) -> usize {
        self.silent_nodes_within(state, self.silent_node_admission_time(), now)
    }

    /// Nodes that are not heard, but were within this time as far as this zone's are concerned.
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

    /// Nodes that are cut off admit requests for so long.
    pub(super) fn silent_node_admission_time(&self) -> Duration {
        let unproven = self.settings().max_unconfirmed_age;
        unproven.unwrap_or(SILENT_NODE_ADMISSION_TIME)
    }

    /// What tenants use at the nodes of this zone, for the others.
    pub(super) fn usages_of_zone(&self, state: &GatewayState, now: Timestamp) -> Vec<UsageNews> {
        let mut sums: BTreeMap<TenantKey, Usage> = BTreeMap::new();
        let own = state.quotas.news(now);
        for UsageNews(tenant, usage) in state.peers.usages(now).chain(own) {
            sums.entry(tenant).or_default().add(usage);
        }
        let sums = sums.into_iter();
        sums.map(|(tenant, usage)| UsageNews(tenant, usage))
            .collect()
    }
}

fn other_usages(state: &GatewayState, now: Timestamp) -> HashMap<TenantKey, Others> {
    let mut sums: HashMap<TenantKey, Others> = HashMap::new();
    for UsageNews(tenant, usage) in state.peers.usages(now) {
        sums.entry(tenant).or_default().add_heard(usage);
    }
    if state.peers.is_large() {
        state.zone_traffic.add_usages_to(&mut sums, now);
    }
    sums
}

/// Whose limit a request uses, and how much of it.
fn limit_usage(request: &AcceptedRequest) -> Option<(&TenantName, Limit, f64)> {
    let tenant = request.tenant.as_ref()?;
    let rate_limit = tenant.rate_limit.as_ref()?;
    let amount = rate_limit.amount(request.caller.prompt.as_ref());
    Some((&tenant.name, rate_limit.limit, amount))
}

/// A number from 0 to 1 that is spread evenly over requests.
fn draw_of(request_id: &str) -> f64 {
    xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64
}
