//! The borrowing side of tenant limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::{Catalog, TenantLimits};
use crate::identity::{NodeName, TenantName};
use crate::timestamp::Timestamp;

use super::borrower_account::{BorrowerAccount, OpenAsk};
use super::{LimitAsk, LimitCost, LimitDecision, LimitGrant, LimitSend, LimitSettings, bank_group};

/// A tenant without traffic for so long is forgotten.
const IDLE_ACCOUNT: Duration = Duration::from_secs(60);
/// Banks are told for so long after the last request that no stream runs: reports may be lost.
const REPORTS_WHEN_IDLE: Duration = Duration::from_secs(10);

/// Spends, in one router process, only tickets that banks have handed out to it.
///
/// Asks nothing for tenants without traffic or without limits.
#[derive(Debug, Clone)]
pub struct LimitBorrower {
    name: NodeName,
    settings: LimitSettings,
    catalog: Arc<Catalog>,
    accounts: BTreeMap<TenantName, BorrowerAccount>,
    last_serial: u64,
}

impl LimitBorrower {
    /// A borrower in the process `name`; `started_at` makes its asks newer than those of an
    /// earlier process of the name.
    pub fn new(name: NodeName, started_at: Timestamp, settings: LimitSettings) -> Self {
        Self {
            name,
            settings,
            catalog: Arc::default(),
            accounts: BTreeMap::new(),
            last_serial: started_at.as_micros(),
        }
    }

    /// Takes the configuration in force.
    pub fn adopt(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
        let tenants: Vec<TenantName> = self.accounts.keys().cloned().collect();
        for tenant in tenants {
            let banks = self.banks(&tenant);
            if let (Some(heir), Some(account)) = (banks.first(), self.accounts.get_mut(&tenant)) {
                account.reassign(&banks, heir);
            }
        }
    }

    /// Counts a request of `tenant` against its limits, if there are tickets; asks for some if not.
    pub fn try_spend(
        &mut self,
        tenant: &TenantName,
        cost: &LimitCost,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) -> LimitDecision {
        let Some(limits) = self.limits(tenant) else {
            return LimitDecision::Allowed;
        };
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.note_demand(cost, &self.settings, now);
        self.spend_or_ask(tenant, &limits, cost, now, sends)
    }

    /// Tries again for a request that was told to wait, without counting its demand again.
    pub fn retry(
        &mut self,
        tenant: &TenantName,
        cost: &LimitCost,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) -> LimitDecision {
        let Some(limits) = self.limits(tenant) else {
            return LimitDecision::Allowed;
        };
        self.spend_or_ask(tenant, &limits, cost, now, sends)
    }

    fn spend_or_ask(
        &mut self,
        tenant: &TenantName,
        limits: &TenantLimits,
        cost: &LimitCost,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) -> LimitDecision {
        let account = self.accounts.entry(tenant.clone()).or_default();
        if account.spend(limits, cost, now) {
            return LimitDecision::Allowed;
        }
        if account.open.is_some() {
            return LimitDecision::Waiting;
        }
        if now < account.denied_until {
            let retry_after = account.denied_until.since(now);
            return LimitDecision::Denied { retry_after };
        }
        let wanted = account.wanted(limits, cost);
        let banks = self.banks(tenant);
        if banks.is_empty() {
            let retry_after = self.settings.retry_after;
            return LimitDecision::Denied { retry_after };
        }
        self.ask(tenant, wanted, cost.tokens, banks, now, sends);
        LimitDecision::Waiting
    }

    /// A stream that [`Self::try_spend`] or [`Self::retry`] allowed is over.
    pub fn stream_ended(&mut self, tenant: &TenantName) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.streams_running = account.streams_running.saturating_sub(1);
        }
    }

    /// Takes a bank's grant.
    pub fn receive(
        &mut self,
        from: &NodeName,
        grant: &LimitGrant,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) {
        let validity = self.settings.ticket_validity;
        let Some(account) = self.accounts.get_mut(&grant.tenant) else {
            return;
        };
        let answers_open = account
            .open
            .as_ref()
            .is_some_and(|open| open.serial == grant.serial && open.bank == *from);
        // Any other grant is void: its bank may have counted these streams as given back.
        if !answers_open {
            return;
        }
        let Some(open) = account.open.take() else {
            return;
        };
        account.deposit(from, &grant.granted, open.asked_at, validity);
        let still_wanted = open.wanted.minus(&grant.granted);
        let least = open.least_tokens.saturating_sub(grant.granted.tokens);
        self.ask_next(
            &grant.tenant,
            still_wanted,
            least,
            open.next_banks,
            now,
            sends,
        );
    }

    /// Lets time pass: gives up on banks that don't answer, and reports running streams.
    pub fn tick(&mut self, now: Timestamp, sends: &mut Vec<LimitSend>) {
        let tenants: Vec<TenantName> = self.accounts.keys().cloned().collect();
        for tenant in &tenants {
            self.expire_ask(tenant, now, sends);
            self.renew(tenant, now, sends);
        }
        self.accounts.retain(|_, account| {
            let holds = account.streams_running > 0 || account.held() > 0;
            holds || account.open.is_some() || now < account.used_at.after(IDLE_ACCOUNT)
        });
    }

    fn limits(&self, tenant: &TenantName) -> Option<TenantLimits> {
        let limits = self.catalog.tenants.get(tenant)?.limits;
        (limits != TenantLimits::default()).then_some(limits)
    }

    /// Banks of a tenant, the first one to ask first; each process starts at another.
    fn banks(&self, tenant: &TenantName) -> Vec<NodeName> {
        let roster = &self.catalog.claim_roster;
        let Some((_, group)) = bank_group(roster, tenant) else {
            return Vec::new();
        };
        let mut banks = group.keepers.clone();
        let seed = xxh3_64_with_seed(self.name.as_str().as_bytes(), 0);
        banks.sort_by_key(|bank| xxh3_64_with_seed(bank.as_str().as_bytes(), seed));
        banks
    }

    fn ask(
        &mut self,
        tenant: &TenantName,
        wanted: LimitCost,
        least_tokens: u64,
        mut banks: Vec<NodeName>,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) {
        let bank = banks.remove(0);
        self.last_serial += 1;
        let serial = self.last_serial;
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        let streams_held = account.streams_held.get(&bank).copied().unwrap_or_default();
        account.open = Some(OpenAsk {
            bank: bank.clone(),
            serial,
            wanted,
            least_tokens,
            asked_at: now,
            next_banks: banks,
        });
        let ask = LimitAsk {
            tenant: tenant.clone(),
            serial,
            wanted,
            least_tokens,
            streams_held,
        };
        sends.push(LimitSend {
            to: bank,
            message: ask.into(),
        });
    }

    fn ask_next(
        &mut self,
        tenant: &TenantName,
        wanted: LimitCost,
        least_tokens: u64,
        banks: Vec<NodeName>,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) {
        if wanted.is_zero() {
            return;
        }
        if banks.is_empty() {
            let retry_after = self.settings.retry_after;
            if let Some(account) = self.accounts.get_mut(tenant) {
                account.denied_until = now.after(retry_after);
            }
            return;
        }
        self.ask(tenant, wanted, least_tokens, banks, now, sends);
    }

    fn expire_ask(&mut self, tenant: &TenantName, now: Timestamp, sends: &mut Vec<LimitSend>) {
        let timeout = self.settings.ask_timeout;
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        let expired = account
            .open
            .as_ref()
            .is_some_and(|open| now >= open.asked_at.after(timeout));
        if !expired {
            return;
        }
        let Some(open) = account.open.take() else {
            return;
        };
        if open.wanted.streams > 0 {
            // The bank may count streams whose grant was lost: reports correct it.
            account.streams_held.entry(open.bank).or_default();
        }
        let least = open.least_tokens;
        self.ask_next(tenant, open.wanted, least, open.next_banks, now, sends);
    }

    /// Reports, to every bank that counts streams of this process, how many it holds.
    fn renew(&mut self, tenant: &TenantName, now: Timestamp, sends: &mut Vec<LimitSend>) {
        let renew_at = now.after(self.settings.renew_interval);
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        if account.streams_held.is_empty() || account.open.is_some() || now < account.renew_at {
            return;
        }
        account.renew_at = renew_at;
        account.trim_streams();
        let held: Vec<(NodeName, u64)> = account
            .streams_held
            .iter()
            .map(|(bank, held)| (bank.clone(), *held))
            .collect();
        if now >= account.used_at.after(REPORTS_WHEN_IDLE) {
            account.streams_held.retain(|_, held| *held > 0);
        }
        for (bank, streams_held) in held {
            self.last_serial += 1;
            let ask = LimitAsk {
                tenant: tenant.clone(),
                serial: self.last_serial,
                wanted: LimitCost::default(),
                least_tokens: 0,
                streams_held,
            };
            sends.push(LimitSend {
                to: bank,
                message: ask.into(),
            });
        }
    }
}
