//! Client of tenant limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::{Catalog, TenantLimits};
use crate::identity::{NodeName, TenantName};
use crate::timestamp::Timestamp;

use super::client_account::{ClientAccount, PendingRequest};
use super::{
    LimitCost, LimitDecision, LimitEnvelope, LimitGrant, LimitRequest, LimitSettings,
    allocator_group,
};

/// How long the account of a tenant without traffic is kept.
const IDLE_ACCOUNT_RETENTION: Duration = Duration::from_secs(60);
/// How long after a tenant's last request allocators still receive reports that this process holds
/// no streams. The reports are repeated because one may be lost.
const IDLE_REPORT_TIME: Duration = Duration::from_secs(10);

/// Spends, in one router process, only permits that allocators have granted to it.
///
/// Sends nothing for tenants without traffic or without limits.
#[derive(Debug, Clone)]
pub struct LimitClient {
    name: NodeName,
    settings: LimitSettings,
    catalog: Arc<Catalog>,
    accounts: BTreeMap<TenantName, ClientAccount>,
    last_serial: u64,
}

impl LimitClient {
    /// Creates the client of the process `name`. `started_at` makes its requests newer than those
    /// of an earlier process of the same name.
    pub fn new(name: NodeName, started_at: Timestamp, settings: LimitSettings) -> Self {
        Self {
            name,
            settings,
            catalog: Arc::default(),
            accounts: BTreeMap::new(),
            last_serial: started_at.as_micros(),
        }
    }

    /// Applies the configuration in force.
    pub fn adopt(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
        let tenants: Vec<TenantName> = self.accounts.keys().cloned().collect();
        for tenant in tenants {
            let allocators = self.allocators(&tenant);
            if let (Some(successor), Some(account)) =
                (allocators.first(), self.accounts.get_mut(&tenant))
            {
                account.reassign(&allocators, successor);
            }
        }
    }

    /// Counts a request of `tenant` against its limits if permits are available, and otherwise
    /// requests more.
    pub fn try_spend(
        &mut self,
        tenant: &TenantName,
        cost: &LimitCost,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) -> LimitDecision {
        let Some(limits) = self.limits(tenant) else {
            return LimitDecision::Allowed;
        };
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.record_demand(cost, &self.settings, now);
        self.spend_or_request(tenant, &limits, cost, now, envelopes)
    }

    /// Tries again for a request that got [`LimitDecision::Waiting`], without counting its demand
    /// again.
    pub fn retry(
        &mut self,
        tenant: &TenantName,
        cost: &LimitCost,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) -> LimitDecision {
        let Some(limits) = self.limits(tenant) else {
            return LimitDecision::Allowed;
        };
        self.spend_or_request(tenant, &limits, cost, now, envelopes)
    }

    fn spend_or_request(
        &mut self,
        tenant: &TenantName,
        limits: &TenantLimits,
        cost: &LimitCost,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) -> LimitDecision {
        let account = self.accounts.entry(tenant.clone()).or_default();
        if account.spend(limits, cost, now) {
            return LimitDecision::Allowed;
        }
        if account.pending.is_some() {
            return LimitDecision::Waiting;
        }
        if now < account.denied_until {
            let retry_after = account.denied_until.since(now);
            return LimitDecision::Denied { retry_after };
        }
        let wanted = account.wanted(limits, cost);
        let allocators = self.allocators(tenant);
        if allocators.is_empty() {
            let retry_after = self.settings.retry_after;
            return LimitDecision::Denied { retry_after };
        }
        self.request(tenant, wanted, cost.tokens, allocators, now, envelopes);
        LimitDecision::Waiting
    }

    /// Records the end of a stream that [`Self::try_spend`] or [`Self::retry`] allowed.
    pub fn stream_ended(&mut self, tenant: &TenantName) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.streams_running = account.streams_running.saturating_sub(1);
        }
    }

    /// Handles a grant of an allocator.
    pub fn receive(
        &mut self,
        from: &NodeName,
        grant: &LimitGrant,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        let validity = self.settings.permit_validity;
        let Some(account) = self.accounts.get_mut(&grant.tenant) else {
            return;
        };
        let answers_pending = account
            .pending
            .as_ref()
            .is_some_and(|pending| pending.serial == grant.serial && pending.allocator == *from);
        // Any other grant is void: the allocator may already have counted its streams as returned.
        if !answers_pending {
            return;
        }
        let Some(pending) = account.pending.take() else {
            return;
        };
        account.deposit(from, &grant.granted, pending.requested_at, validity);
        let still_wanted = pending.wanted.minus(&grant.granted);
        let min_tokens = pending.min_tokens.saturating_sub(grant.granted.tokens);
        self.request_next(
            &grant.tenant,
            still_wanted,
            min_tokens,
            pending.next_allocators,
            now,
            envelopes,
        );
    }

    /// Handles time-outs: gives up on allocators that do not answer, and reports the streams held.
    pub fn tick(&mut self, now: Timestamp, envelopes: &mut Vec<LimitEnvelope>) {
        let tenants: Vec<TenantName> = self.accounts.keys().cloned().collect();
        for tenant in &tenants {
            self.expire_request(tenant, now, envelopes);
            self.renew(tenant, now, envelopes);
        }
        self.accounts.retain(|_, account| {
            let holds = account.streams_running > 0 || account.held() > 0;
            holds
                || account.pending.is_some()
                || now < account.used_at.after(IDLE_ACCOUNT_RETENTION)
        });
    }

    fn limits(&self, tenant: &TenantName) -> Option<TenantLimits> {
        let limits = self.catalog.tenants.get(tenant)?.limits;
        (limits != TenantLimits::default()).then_some(limits)
    }

    /// Allocators of a tenant in the order in which this process asks them. The order differs
    /// between processes.
    fn allocators(&self, tenant: &TenantName) -> Vec<NodeName> {
        let roster = &self.catalog.claim_roster;
        let Some((_, group)) = allocator_group(roster, tenant) else {
            return Vec::new();
        };
        let mut allocators = group.keepers.clone();
        let seed = xxh3_64_with_seed(self.name.as_str().as_bytes(), 0);
        allocators.sort_by_key(|allocator| xxh3_64_with_seed(allocator.as_str().as_bytes(), seed));
        allocators
    }

    fn request(
        &mut self,
        tenant: &TenantName,
        wanted: LimitCost,
        min_tokens: u64,
        mut allocators: Vec<NodeName>,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        let allocator = allocators.remove(0);
        self.last_serial += 1;
        let serial = self.last_serial;
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        let streams_held = account
            .streams_held
            .get(&allocator)
            .copied()
            .unwrap_or_default();
        account.pending = Some(PendingRequest {
            allocator: allocator.clone(),
            serial,
            wanted,
            min_tokens,
            requested_at: now,
            next_allocators: allocators,
        });
        let request = LimitRequest {
            tenant: tenant.clone(),
            serial,
            wanted,
            min_tokens,
            streams_held,
        };
        envelopes.push(LimitEnvelope {
            to: allocator,
            message: request.into(),
        });
    }

    /// Requests what is still wanted from the next of `allocators`; when none is left, the tenant's
    /// requests are denied for [`LimitSettings::retry_after`].
    fn request_next(
        &mut self,
        tenant: &TenantName,
        wanted: LimitCost,
        min_tokens: u64,
        allocators: Vec<NodeName>,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        if wanted.is_zero() {
            return;
        }
        if allocators.is_empty() {
            let retry_after = self.settings.retry_after;
            if let Some(account) = self.accounts.get_mut(tenant) {
                account.denied_until = now.after(retry_after);
            }
            return;
        }
        self.request(tenant, wanted, min_tokens, allocators, now, envelopes);
    }

    fn expire_request(
        &mut self,
        tenant: &TenantName,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        let timeout = self.settings.request_timeout;
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        let expired = account
            .pending
            .as_ref()
            .is_some_and(|pending| now >= pending.requested_at.after(timeout));
        if !expired {
            return;
        }
        let Some(pending) = account.pending.take() else {
            return;
        };
        if pending.wanted.streams > 0 {
            // The allocator may count streams whose grant was lost; the reports correct its count.
            account.streams_held.entry(pending.allocator).or_default();
        }
        let min_tokens = pending.min_tokens;
        self.request_next(
            tenant,
            pending.wanted,
            min_tokens,
            pending.next_allocators,
            now,
            envelopes,
        );
    }

    /// Reports to every allocator that counts streams of this process how many the process holds.
    fn renew(&mut self, tenant: &TenantName, now: Timestamp, envelopes: &mut Vec<LimitEnvelope>) {
        let renew_at = now.after(self.settings.renew_interval);
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        if account.streams_held.is_empty() || account.pending.is_some() || now < account.renew_at {
            return;
        }
        account.renew_at = renew_at;
        account.release_spare_streams();
        let held: Vec<(NodeName, u64)> = account
            .streams_held
            .iter()
            .map(|(allocator, held)| (allocator.clone(), *held))
            .collect();
        if now >= account.used_at.after(IDLE_REPORT_TIME) {
            account.streams_held.retain(|_, held| *held > 0);
        }
        for (allocator, streams_held) in held {
            self.last_serial += 1;
            let request = LimitRequest {
                tenant: tenant.clone(),
                serial: self.last_serial,
                wanted: LimitCost::default(),
                min_tokens: 0,
                streams_held,
            };
            envelopes.push(LimitEnvelope {
                to: allocator,
                message: request.into(),
            });
        }
    }
}
