//! The routing table.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::{PoolName, TenantName};

use super::{
    CacheScope, CallerLimits, IsolationDigest, KeyConflict, KvStoreProfile, PoolProfile, Route,
    Tenant, UrgencyRanks,
};

/// One version of the configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct RoutingTable {
    version: u64,
    document: Option<String>,
    routes_by_host: HashMap<String, Vec<Rc<Route>>>,
    pools: HashMap<PoolName, PoolProfile>,
    longest_pauses: HashMap<PoolName, Duration>,
    longest_timeouts: HashMap<PoolName, Duration>,
    shortest_targets: HashMap<PoolName, Duration>,
    kv_stores: Vec<KvStoreProfile>,
    lists_tenants: bool,
    tenants: Vec<Rc<Tenant>>,
    tenants_by_key: HashMap<String, Rc<Tenant>>,
    /// Whether each tenant is isolated. One that is listed twice is if either entry says so.
    isolation: HashMap<TenantName, bool>,
    isolation_digest: IsolationDigest,
    key_conflict: Option<KeyConflict>,
    limits_all_tenants: bool,
    urgency_ranks: UrgencyRanks,
    limits: CallerLimits,
}

impl RoutingTable {
    /// Indexes a configuration. `tenants` is `None` if it says nothing of tenants; if it lists none, nobody has a key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: Vec<PoolProfile>,
        kv_stores: Vec<KvStoreProfile>,
        tenants: Option<Vec<Tenant>>,
        limits: CallerLimits,
    ) -> Self {
        let lists_tenants = tenants.is_some();
        let tenants = tenants.unwrap_or_default();
        let mut table = Self {
            version,
            lists_tenants,
            kv_stores,
            limits,
            urgency_ranks: UrgencyRanks::new(routes.iter(), &tenants),
            ..Self::default()
        };
        for route in routes {
            table.note_pause(&route);
            table.note_timeout(&route);
            table.note_target(&route);
            let host = route.host.to_ascii_lowercase();
            table
                .routes_by_host
                .entry(host)
                .or_default()
                .push(Rc::new(route));
        }
        for routes in table.routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        for pool in pools {
            table.pools.insert(pool.name.clone(), pool);
        }
        table.limits_all_tenants = tenants.iter().all(|tenant| tenant.rate_limit.is_some());
        let isolated = tenants.iter().filter(|tenant| tenant.is_isolated);
        table.isolation_digest = IsolationDigest::new(isolated.map(|tenant| &tenant.name));
        for tenant in tenants {
            let tenant = Rc::new(tenant);
            let is_isolated = table.isolation.entry(tenant.name.clone()).or_default();
            *is_isolated |= tenant.is_isolated;
            for key in tenant.keys.iter().filter(|key| !key.is_empty()) {
                let other = table.tenants_by_key.insert(key.clone(), Rc::clone(&tenant));
                let other = other.filter(|other| other.name != tenant.name);
                table.key_conflict = table.key_conflict.or(other.map(|other| KeyConflict {
                    holder: tenant.name.clone(),
                    other: other.name.clone(),
                }));
            }
            table.tenants.push(tenant);
        }
        table
    }

    fn note_pause(&mut self, route: &Route) {
        let Some(pause) = route.longest_pause else {
            return;
        };
        for part in &route.pools {
            let known = self.longest_pauses.entry(part.pool.clone());
            let shortest = known.or_insert(pause);
            *shortest = pause.min(*shortest);
        }
    }

    fn note_timeout(&mut self, route: &Route) {
        for part in &route.pools {
            let known = self.longest_timeouts.entry(part.pool.clone());
            let longest = known.or_default();
            *longest = route.timeout.max(*longest);
        }
    }

    fn note_target(&mut self, route: &Route) {
        for part in &route.pools {
            let known = self.shortest_targets.entry(part.pool.clone());
            let shortest = known.or_insert(route.target_latency);
            *shortest = route.target_latency.min(*shortest);
        }
    }

    /// Keeps the text that the table was read from, to hand it on to other nodes.
    pub fn with_document(mut self, document: impl Into<String>) -> Self {
        self.document = Some(document.into());
        self
    }

    /// The text that the table was read from.
    pub fn document(&self) -> Option<&str> {
        self.document.as_deref()
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request: of the host's routes the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes_by_host.get(&host.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether the configuration has a list of tenants, which may be empty: requests then need a key, except on public
    /// routes.
    pub fn lists_tenants(&self) -> bool {
        self.lists_tenants
    }

    /// The first key that two tenants hold.
    pub fn key_conflict(&self) -> Option<&KeyConflict> {
        self.key_conflict.as_ref()
    }

    /// All tenants.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.iter().map(Rc::as_ref)
    }

    /// Ranks of the urgencies that requests can have.
    pub fn urgency_ranks(&self) -> &UrgencyRanks {
        &self.urgency_ranks
    }

    /// Whether every tenant has a rate limit.
    pub fn limits_all_tenants(&self) -> bool {
        self.limits_all_tenants
    }

    /// The tenant that holds a key.
    pub fn tenant_of(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.tenants_by_key.get(key)
    }

    /// The requests with which those of a tenant, or those without one, share cached prefixes. `tenant` may stem from
    /// an older configuration; one that this configuration lacks shares with nobody.
    pub fn cache_scope(&self, tenant: Option<&TenantName>) -> CacheScope {
        let Some(name) = tenant else {
            return CacheScope::Shared(self.isolation_digest);
        };
        match self.isolation.get(name) {
            Some(false) => CacheScope::Shared(self.isolation_digest),
            Some(true) | None => CacheScope::Tenant(name.clone()),
        }
    }

    /// The digest of the tenants that share no cached prefix with others.
    pub fn isolation_digest(&self) -> IsolationDigest {
        self.isolation_digest
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolProfile> {
        self.pools.values()
    }

    /// The pools that routes name.
    pub fn routed_pools(&self) -> impl Iterator<Item = &PoolName> {
        self.longest_timeouts.keys()
    }

    /// Settings of a pool.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolProfile> {
        self.pools.get(name)
    }

    /// Longest pause that no stream of a pool may exceed, where its routes name one.
    pub fn longest_pause(&self, pool: &PoolName) -> Option<Duration> {
        self.longest_pauses.get(pool).copied()
    }

    /// No request for a pool lasts longer.
    pub fn longest_timeout(&self, pool: &PoolName) -> Duration {
        self.longest_timeouts.get(pool).copied().unwrap_or_default()
    }

    /// Shortest target latency of the routes to a pool; `None` without any route.
    pub fn shortest_target(&self, pool: &PoolName) -> Option<Duration> {
        self.shortest_targets.get(pool).copied()
    }

    /// The pools whose engines serve `model`.
    pub fn pools_of_model(&self, model: &str) -> Vec<&PoolProfile> {
        let serves = |pool: &&PoolProfile| {
            pool.engine
                .as_ref()
                .is_some_and(|engine| engine.models.iter().any(|name| name == model))
        };
        self.pools.values().filter(serves).collect()
    }

    /// The stores of kept KV cache.
    pub fn kv_stores(&self) -> &[KvStoreProfile] {
        &self.kv_stores
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }
}
