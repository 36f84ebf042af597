//! Accounts of all tenants at a node.

use std::collections::{BTreeMap, HashMap, HashSet};

use ryerouter_core::Timestamp;
use ryerouter_core::identity::TenantName;
use ryerouter_core::quota::{
    Account, Limit, PeerUsage, Peers, Request, Surge, Tolerance, Usage, Verdict,
};

use super::{EarlierReport, Settlements, Standing, TenantKey, UsageUpdate, ZoneTotal, tenant_key};

/// A node reports a tenant's usage if the requested rate reaches this share of the node's equal
/// part of the limit. The unreported usage of all nodes adds up to at most this share of the limit.
/// The actual error is much smaller, because most unreported tenants are far from their limits, and
/// the traffic of busy tenants comes in bursts, which are reported.
const MIN_REPORTED_SHARE: f64 = 0.25;
/// Number of significant digits of reported rates. More digits would only be noise.
const REPORTED_DIGITS: i32 = 3;

/// Accounts of the tenants at a node, and the usage that other nodes report.
#[derive(Debug)]
pub struct Quotas {
    tolerance: Tolerance,
    started_at: Timestamp,
    /// Account of each tenant, with the control target of the tenant's limit.
    accounts: BTreeMap<TenantName, (Limit, Account)>,
    others: HashMap<TenantKey, PeerUsage>,
    /// Corrections of the reports of nodes, and of those of other zones.
    of_nodes: Settlements,
    of_zones: Settlements,
    /// What the nodes of this zone admitted, for the other zones; one of each tenant with an account.
    zone_totals: HashMap<TenantKey, ZoneTotal>,
    refreshed_at: Timestamp,
    /// The other nodes, without their usage.
    peers: Peers,
}

impl Quotas {
    /// Creates a table without accounts; `now` is the start of the process.
    pub fn new(tolerance: Tolerance, now: Timestamp) -> Self {
        Self {
            tolerance,
            started_at: now,
            accounts: BTreeMap::new(),
            others: HashMap::new(),
            of_nodes: Settlements::default(),
            of_zones: Settlements::default(),
            zone_totals: HashMap::new(),
            refreshed_at: now,
            peers: Peers::alone(),
        }
    }

    /// Takes in the report of a node, and `before`, the one that it replaces.
    pub fn receive_of_node(&mut self, before: Option<&EarlierReport>, reports: &[UsageUpdate]) {
        let totals = &self.zone_totals;
        let known = reports
            .iter()
            .filter(|report| totals.contains_key(&report.0));
        self.of_nodes.add(before, known);
    }

    /// Takes in the report of another zone, and `before`, the one that it replaces.
    pub fn receive_of_zone(&mut self, before: Option<&EarlierReport>, reports: &[UsageUpdate]) {
        let totals = &self.zone_totals;
        let known = reports
            .iter()
            .filter(|report| totals.contains_key(&report.0));
        self.of_zones.add(before, known);
    }

    /// Advances the totals of this zone to `now`; `usages` are those of the nodes that report
    /// themselves.
    pub fn refresh_zone_totals(&mut self, usages: &HashMap<TenantKey, PeerUsage>, now: Timestamp) {
        let elapsed = now.since(self.refreshed_at).as_secs_f64();
        self.refreshed_at = now;
        for (tenant, (_, account)) in &self.accounts {
            let tenant = tenant_key(tenant);
            let correction = self.of_nodes.correction(tenant);
            let admitted = usages.get(&tenant).map_or(0.0, |usage| usage.admitted);
            let total = self.zone_totals.entry(tenant);
            let total = total.or_insert_with(|| ZoneTotal::new(correction));
            total.add(admitted * elapsed, correction);
            total.own = account.total();
        }
    }

    /// What the nodes of this zone, with this one, have admitted, as counted by this node
    /// at the last refresh.
    pub fn zone_total(&self, tenant: TenantKey) -> f64 {
        let totals = self.zone_totals.get(&tenant);
        totals.map_or(0.0, |total| total.admitted())
    }

    /// Sets the other nodes, their usage and the tenants with their limits, and advances all
    /// accounts to `now`. Usage of other nodes is charged over time, so the accounts must advance
    /// even without requests.
    pub fn refresh<'a>(
        &mut self,
        peers: Peers,
        usages: HashMap<TenantKey, PeerUsage>,
        tenants: impl Iterator<Item = (&'a TenantName, Limit)>,
        now: Timestamp,
    ) {
        self.peers = peers;
        self.others = usages;
        let mut previous = std::mem::take(&mut self.accounts);
        for (tenant, limit) in tenants {
            let limit = limit.control_target(&self.tolerance);
            let known = previous.remove(tenant).map(|(_, account)| account);
            let mut account = known.unwrap_or_else(|| self.new_account(&limit, now));
            account.advance(&limit, &self.peers_of(tenant), now);
            self.accounts.insert(tenant.clone(), (limit, account));
        }
        if !previous.is_empty() {
            self.forget_dropped_tenants();
        }
    }

    fn forget_dropped_tenants(&mut self) {
        let kept: HashSet<TenantKey> = self.accounts.keys().map(tenant_key).collect();
        self.of_nodes.retain(|tenant| kept.contains(&tenant));
        self.of_zones.retain(|tenant| kept.contains(&tenant));
        self.zone_totals.retain(|tenant, _| kept.contains(tenant));
    }

    /// Decides on a request of the tenant.
    pub fn decide(
        &mut self,
        tenant: &TenantName,
        limit: &Limit,
        request: &Request,
        now: Timestamp,
    ) -> Verdict {
        let peers = self.peers_of(tenant);
        let (limit, account) = self.account(tenant, limit, now);
        account.decide(limit, &peers, request, now)
    }

    /// Charges for another run of a request that was admitted before.
    pub fn charge(&mut self, tenant: &TenantName, limit: &Limit, amount: f64, now: Timestamp) {
        let peers = self.peers_of(tenant);
        let (_, account) = self.account(tenant, limit, now);
        account.charge(&peers, amount, now);
    }

    /// Refunds an admitted request that did not run.
    pub fn refund(&mut self, tenant: &TenantName, limit: &Limit, amount: f64, now: Timestamp) {
        let peers = self.peers_of(tenant);
        let (_, account) = self.account(tenant, limit, now);
        account.refund(&peers, amount, now);
    }

    /// Usage of the tenants near their limits, to be sent to the other nodes.
    pub fn updates(&self, now: Timestamp) -> Vec<UsageUpdate> {
        let nodes = self.peers.nodes.max(1) as f64;
        let accounts = self.accounts.iter();
        let used = accounts.filter_map(|(tenant, (limit, account))| {
            let usage = account.usage(now);
            let min_requested = limit.per_second / nodes * MIN_REPORTED_SHARE;
            let is_reported = account.peak_asked(now) >= min_requested;
            is_reported.then(|| UsageUpdate(tenant_key(tenant), rounded(usage)))
        });
        used.collect()
    }

    /// Surges since the last refresh from which more is presumed of the other nodes than they report.
    pub fn new_surges(&self) -> impl Iterator<Item = (&TenantName, Surge)> {
        let accounts = self.accounts.iter();
        let surges = accounts
            .filter_map(|(tenant, (_, account))| account.surge().map(|surge| (tenant, surge)));
        surges.filter(|(_, surge)| surge.began_at >= self.refreshed_at && surge.usual_others > 0.0)
    }

    /// The tenants near their limits.
    pub fn near_limits(&self, now: Timestamp) -> impl Iterator<Item = Standing<'_>> {
        let standings = self
            .accounts
            .iter()
            .map(move |(tenant, (limit, account))| Standing {
                tenant,
                limit,
                balance: account.balance(),
                own: account.usage(now),
                peers: self.peers_of(tenant),
            });
        standings.filter(Standing::is_near_limit)
    }

    fn account(
        &mut self,
        tenant: &TenantName,
        limit: &Limit,
        now: Timestamp,
    ) -> &mut (Limit, Account) {
        let limit = limit.control_target(&self.tolerance);
        let fresh = self.new_account(&limit, now);
        let entry = self.accounts.entry(tenant.clone());
        let account = entry.or_insert((limit, fresh));
        account.0 = limit;
        account
    }

    fn new_account(&self, limit: &Limit, now: Timestamp) -> Account {
        Account::new(limit, now.since(self.started_at), now)
    }

    fn peers_of(&self, tenant: &TenantName) -> Peers {
        let key = tenant_key(tenant);
        let others = self.others.get(&key).copied().unwrap_or_default();
        let correction = self.of_nodes.correction(key) + self.of_zones.correction(key);
        Peers {
            others: PeerUsage {
                correction,
                ..others
            },
            ..self.peers
        }
    }
}

fn rounded(usage: Usage) -> Usage {
    Usage {
        asked: round_to_reported_digits(usage.asked),
        admitted: round_to_reported_digits(usage.admitted),
        total: usage.total,
    }
}

fn round_to_reported_digits(value: f32) -> f32 {
    if value <= 0.0 {
        return 0.0;
    }
    let digits = value.log10().floor() as i32 + 1;
    let unit = 10_f32.powi(digits - REPORTED_DIGITS);
    (value / unit).round() * unit
}
