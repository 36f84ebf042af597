//! Allocator of tenant limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{Catalog, TenantLimits};
use crate::identity::{NodeName, TenantName};
use crate::timestamp::Timestamp;

use super::allocator_account::AllocatorAccount;
use super::allocator_authority::AllocatorAuthority;
use super::{
    LimitAllocatorEvent, LimitCost, LimitEnvelope, LimitGrant, LimitMessage, LimitRequest,
    LimitSettings, allocator_group, allocator_share,
};

/// How long an account without requests is kept. It is longer than streams are retained.
const IDLE_ACCOUNT_RETENTION: Duration = Duration::from_secs(1_200);

/// Grants permits from this process's share of the limits of some tenants.
///
/// Invariant: in any period of w seconds, the allocators of a tenant together grant at most its
/// limit for w + 1 seconds, plus one request and one prompt per allocator.
#[derive(Debug, Clone)]
pub struct LimitAllocator {
    name: NodeName,
    settings: LimitSettings,
    catalog: Arc<Catalog>,
    authorities: BTreeMap<usize, AllocatorAuthority>,
    accounts: BTreeMap<TenantName, AllocatorAccount>,
    /// Requests that wait until a majority of the group has confirmed this allocator.
    waiting: Vec<WaitingRequest>,
    next_cleanup_at: Timestamp,
}

#[derive(Debug, Clone)]
struct WaitingRequest {
    from: NodeName,
    request: LimitRequest,
    expires_at: Timestamp,
}

impl LimitAllocator {
    /// Creates the allocator of the process `name`.
    pub fn new(name: NodeName, settings: LimitSettings) -> Self {
        Self {
            name,
            settings,
            catalog: Arc::default(),
            authorities: BTreeMap::new(),
            accounts: BTreeMap::new(),
            waiting: Vec::new(),
            next_cleanup_at: Timestamp::ZERO,
        }
    }

    /// Number of open accounts.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Handles an event and appends the messages to send.
    pub fn handle(
        &mut self,
        event: LimitAllocatorEvent,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        match event {
            LimitAllocatorEvent::Received { from, message } => {
                self.receive(from, message, now, envelopes)
            }
            LimitAllocatorEvent::CatalogChanged(catalog) => self.adopt(catalog, now),
        }
    }

    fn adopt(&mut self, catalog: Arc<Catalog>, now: Timestamp) {
        let mut authorities = BTreeMap::new();
        for (index, group) in catalog.claim_roster.groups.iter().enumerate() {
            if !group.keepers.contains(&self.name) {
                continue;
            }
            let authority = match self.authorities.remove(&index) {
                Some(mut authority) => {
                    authority.adopt(group, &self.settings, now);
                    authority
                }
                None => AllocatorAuthority::new(group.clone(), &self.settings, now),
            };
            authorities.insert(index, authority);
        }
        self.authorities = authorities;
        self.catalog = catalog;
    }

    fn receive(
        &mut self,
        from: NodeName,
        message: LimitMessage,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        match message {
            LimitMessage::Request(request) => self.receive_request(from, request, now, envelopes),
            LimitMessage::Ping { group, round, .. } => {
                self.confirm_epoch(from, group, round, envelopes)
            }
            LimitMessage::Pong {
                group,
                epoch,
                round,
            } => {
                if let Some(authority) = self.authorities.get_mut(&group) {
                    authority.confirm(from, epoch, round, &self.settings);
                }
                self.answer_waiting(now, envelopes);
            }
            LimitMessage::Grant(_) => {}
        }
    }

    /// Confirms the epoch of a group. A process that has left the group answers as well, because
    /// its answer shows whether the epoch has advanced.
    fn confirm_epoch(
        &self,
        from: NodeName,
        group: usize,
        round: u64,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        if let Some(known) = self.catalog.claim_roster.groups.get(group) {
            let epoch = known.epoch;
            envelopes.push(LimitEnvelope {
                to: from,
                message: LimitMessage::Pong {
                    group,
                    epoch,
                    round,
                },
            });
        }
    }

    fn receive_request(
        &mut self,
        from: NodeName,
        request: LimitRequest,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        self.remove_idle(now);
        let group =
            allocator_group(&self.catalog.claim_roster, &request.tenant).map(|(index, _)| index);
        if let Some(index) = group {
            self.start_confirmation_round(index, now, envelopes);
        }
        if self.is_authorized(&request.tenant, now) || request.wanted.is_zero() {
            self.answer(from, &request, now, envelopes);
            return;
        }
        let expires_at = now.after(self.settings.request_timeout);
        self.waiting.push(WaitingRequest {
            from,
            request,
            expires_at,
        });
    }

    fn answer_waiting(&mut self, now: Timestamp, envelopes: &mut Vec<LimitEnvelope>) {
        for waiting in std::mem::take(&mut self.waiting) {
            if now >= waiting.expires_at {
                continue;
            }
            if self.is_authorized(&waiting.request.tenant, now) {
                self.answer(waiting.from, &waiting.request, now, envelopes);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Whether a request can be answered now. Requests for tenants of other groups always can.
    fn is_authorized(&self, tenant: &TenantName, now: Timestamp) -> bool {
        allocator_group(&self.catalog.claim_roster, tenant)
            .and_then(|(index, _)| self.authorities.get(&index))
            .is_none_or(|authority| authority.is_valid(now))
    }

    fn answer(
        &mut self,
        from: NodeName,
        request: &LimitRequest,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        let granted = self.grant(&from, request, now);
        let grant = LimitGrant {
            tenant: request.tenant.clone(),
            serial: request.serial,
            granted,
        };
        envelopes.push(LimitEnvelope {
            to: from,
            message: grant.into(),
        });
    }

    fn grant(&mut self, from: &NodeName, request: &LimitRequest, now: Timestamp) -> LimitCost {
        let nothing = LimitCost::default();
        let Some(tenant) = self.catalog.tenants.get(&request.tenant) else {
            return nothing;
        };
        let limits = tenant.limits;
        let Some((index, _)) = allocator_group(&self.catalog.claim_roster, &request.tenant) else {
            return nothing;
        };
        if !self.authorities.contains_key(&index) {
            return nothing;
        }
        self.open_account(index, &request.tenant, &limits, now);
        let valid = self.authorities[&index].is_valid(now);
        let Some(account) = self.accounts.get_mut(&request.tenant) else {
            return nothing;
        };
        let newer = account.record(from, request, now);
        if newer && valid {
            account.grant(from, request, &self.settings, now)
        } else {
            nothing
        }
    }

    /// Asks the other allocators of a group to confirm its epoch when a round is due.
    fn start_confirmation_round(
        &mut self,
        index: usize,
        now: Timestamp,
        envelopes: &mut Vec<LimitEnvelope>,
    ) {
        let Some(authority) = self.authorities.get_mut(&index) else {
            return;
        };
        let allocators = authority.start_round(&self.name, &self.settings, now);
        let (epoch, round) = (authority.epoch(), authority.round());
        envelopes.extend(allocators.into_iter().map(|to| LimitEnvelope {
            to,
            message: LimitMessage::Ping {
                group: index,
                epoch,
                round,
            },
        }));
    }

    fn open_account(
        &mut self,
        index: usize,
        tenant: &TenantName,
        limits: &TenantLimits,
        now: Timestamp,
    ) {
        let sets = self.authorities[&index].allocator_sets(now);
        let own_name = &self.name;
        let share = |limit: u64| {
            sets.iter()
                .map(|allocators| allocator_share(limit, allocators, own_name, tenant))
                .min()
                .unwrap_or_default()
        };
        let opened_at = self.authorities[&index].unbounded_since(now);
        self.accounts
            .entry(tenant.clone())
            .or_insert_with(|| AllocatorAccount::new(opened_at, now))
            .set_limits(limits, share, now);
    }

    fn remove_idle(&mut self, now: Timestamp) {
        if now < self.next_cleanup_at {
            return;
        }
        self.next_cleanup_at = now.after(IDLE_ACCOUNT_RETENTION / 4);
        self.accounts
            .retain(|_, account| now < account.used_at().after(IDLE_ACCOUNT_RETENTION));
    }
}
