//! The accounts of a node.

use std::collections::{BTreeMap, HashMap};

use ryerouter_core::Timestamp;
use ryerouter_core::identity::TenantName;
use ryerouter_core::quota::{Account, Limit, PeerUsage, Peers, Request, Tolerance, Usage, Verdict};

use super::{Standing, TenantKey, UsageNews, tenant_key};

/// A node tells of a tenant when it is asked for this share of its even part of the limit. What is
/// then told by nobody sums up to at most this share of the limit; as most of it is traffic far from
/// its limit, and busy tenants come in bursts that are told, the error is much smaller.
const TOLD_SHARE: f64 = 0.25;
/// Digits of a rate that are told: more would be noise.
const TOLD_DIGITS: i32 = 3;

/// The accounts of a node, and what it knows of the others.
#[derive(Debug)]
pub struct Quotas {
    tolerance: Tolerance,
    started_at: Timestamp,
    /// With the limits that they steer by.
    accounts: BTreeMap<TenantName, (Limit, Account)>,
    others: HashMap<TenantKey, PeerUsage>,
    /// The other nodes, without what they use.
    peers: Peers,
}

impl Quotas {
    /// A node without accounts; `now` is the start of its process.
    pub fn new(tolerance: Tolerance, now: Timestamp) -> Self {
        Self {
            tolerance,
            started_at: now,
            accounts: BTreeMap::new(),
            others: HashMap::new(),
            peers: Peers::alone(),
        }
    }

    /// Takes what the other nodes use, how many they are, and which tenants have which limits; lets
    /// time pass for all accounts, as what others use counts while it lasts.
    pub fn refresh<'a>(
        &mut self,
        peers: Peers,
        usages: HashMap<TenantKey, PeerUsage>,
        tenants: impl Iterator<Item = (&'a TenantName, Limit)>,
        now: Timestamp,
    ) {
        self.peers = peers;
        self.others = usages;
        let mut kept = std::mem::take(&mut self.accounts);
        for (tenant, limit) in tenants {
            let limit = limit.control_target(&self.tolerance);
            let known = kept.remove(tenant).map(|(_, account)| account);
            let mut account = known.unwrap_or_else(|| self.new_account(&limit, now));
            account.advance(&limit, &self.peers_of(tenant), now);
            self.accounts.insert(tenant.clone(), (limit, account));
        }
    }

    /// Decides on a request of a tenant with this limit.
    pub fn decide(
        &mut self,
        tenant: &TenantName,
        limit: &Limit,
        ask: &Request,
        now: Timestamp,
    ) -> Verdict {
        let peers = self.peers_of(tenant);
        let (limit, account) = self.account(tenant, limit, now);
        account.decide(limit, &peers, ask, now)
    }

    /// Something that was admitted runs once more.
    pub fn charge(&mut self, tenant: &TenantName, limit: &Limit, amount: f64, now: Timestamp) {
        let peers = self.peers_of(tenant);
        let (_, account) = self.account(tenant, limit, now);
        account.charge(&peers, amount, now);
    }

    /// Something that was admitted has not run.
    pub fn refund(&mut self, tenant: &TenantName, limit: &Limit, amount: f64, now: Timestamp) {
        let peers = self.peers_of(tenant);
        let (_, account) = self.account(tenant, limit, now);
        account.refund(&peers, amount, now);
    }

    /// What this node tells of the tenants that come near their limits.
    pub fn news(&self, now: Timestamp) -> Vec<UsageNews> {
        let nodes = self.peers.nodes.max(1) as f64;
        let accounts = self.accounts.iter();
        let used = accounts.filter_map(|(tenant, (limit, account))| {
            let usage = account.usage(now);
            let least = limit.per_second / nodes * TOLD_SHARE;
            let is_told = f64::from(usage.asked) >= least;
            is_told.then(|| UsageNews(tenant_key(tenant), rounded(usage)))
        });
        used.collect()
    }

    /// How the tenants stand that come near their limits.
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
        let others = self.others.get(&tenant_key(tenant));
        Peers {
            others: others.copied().unwrap_or_default(),
            ..self.peers
        }
    }
}

fn rounded(usage: Usage) -> Usage {
    Usage {
        asked: to_told_digits(usage.asked),
        admitted: to_told_digits(usage.admitted),
    }
}

fn to_told_digits(value: f32) -> f32 {
    if value <= 0.0 {
        return 0.0;
    }
    let digits = value.log10().floor() as i32 + 1;
    let unit = 10_f32.powi(digits - TOLD_DIGITS);
    (value / unit).round() * unit
}
