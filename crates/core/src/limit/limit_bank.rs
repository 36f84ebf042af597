//! The bank of tenant limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{Catalog, TenantLimits};
use crate::identity::{NodeName, TenantName};
use crate::timestamp::Timestamp;

use super::bank_account::BankAccount;
use super::bank_authority::BankAuthority;
use super::{
    LimitAsk, LimitBankEvent, LimitCost, LimitGrant, LimitMessage, LimitSend, LimitSettings,
    bank_group, share_of,
};

/// An account that nobody asked of for so long is forgotten; longer than streams are held.
const IDLE_ACCOUNT: Duration = Duration::from_secs(1_200);

/// Hands out tickets of this process's part of the limits of some tenants.
///
/// Invariant: over any time of w seconds the banks of a tenant together hand out at most its limit
/// for w + 1 seconds, and one request and one prompt more each.
#[derive(Debug, Clone)]
pub struct LimitBank {
    name: NodeName,
    settings: LimitSettings,
    catalog: Arc<Catalog>,
    authorities: BTreeMap<usize, BankAuthority>,
    accounts: BTreeMap<TenantName, BankAccount>,
    /// Asks that wait until a majority of banks has confirmed this one.
    waiting: Vec<WaitingAsk>,
    forget_at: Timestamp,
}

#[derive(Debug, Clone)]
struct WaitingAsk {
    from: NodeName,
    ask: LimitAsk,
    useless_at: Timestamp,
}

impl LimitBank {
    /// A bank in the process `name`.
    pub fn new(name: NodeName, settings: LimitSettings) -> Self {
        Self {
            name,
            settings,
            catalog: Arc::default(),
            authorities: BTreeMap::new(),
            accounts: BTreeMap::new(),
            waiting: Vec::new(),
            forget_at: Timestamp::ZERO,
        }
    }

    /// Accounts held now.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Takes an event and appends the messages to send.
    pub fn handle(&mut self, event: LimitBankEvent, now: Timestamp, sends: &mut Vec<LimitSend>) {
        match event {
            LimitBankEvent::Received { from, message } => self.receive(from, message, now, sends),
            LimitBankEvent::CatalogChanged(catalog) => self.adopt(catalog, now),
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
                None => BankAuthority::new(group.clone(), &self.settings, now),
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
        sends: &mut Vec<LimitSend>,
    ) {
        match message {
            LimitMessage::Ask(ask) => self.take_ask(from, ask, now, sends),
            LimitMessage::Ping { group, round, .. } => self.pong(from, group, round, sends),
            LimitMessage::Pong {
                group,
                epoch,
                round,
            } => {
                if let Some(authority) = self.authorities.get_mut(&group) {
                    authority.confirm(from, epoch, round, &self.settings);
                }
                self.answer_waiting(now, sends);
            }
            LimitMessage::Grant(_) => {}
        }
    }

    /// A process that left the group answers as well: its word that the epoch moved on counts.
    fn pong(&self, from: NodeName, group: usize, round: u64, sends: &mut Vec<LimitSend>) {
        if let Some(known) = self.catalog.claim_roster.groups.get(group) {
            let epoch = known.epoch;
            sends.push(LimitSend {
                to: from,
                message: LimitMessage::Pong {
                    group,
                    epoch,
                    round,
                },
            });
        }
    }

    fn take_ask(
        &mut self,
        from: NodeName,
        ask: LimitAsk,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) {
        self.forget_idle(now);
        let group = bank_group(&self.catalog.claim_roster, &ask.tenant).map(|(index, _)| index);
        if let Some(index) = group {
            self.confirm_authority(index, now, sends);
        }
        if self.is_authorized(&ask.tenant, now) || ask.wanted.is_zero() {
            self.answer(from, &ask, now, sends);
            return;
        }
        let useless_at = now.after(self.settings.ask_timeout);
        self.waiting.push(WaitingAsk {
            from,
            ask,
            useless_at,
        });
    }

    fn answer_waiting(&mut self, now: Timestamp, sends: &mut Vec<LimitSend>) {
        for waiting in std::mem::take(&mut self.waiting) {
            if now >= waiting.useless_at {
                continue;
            }
            if self.is_authorized(&waiting.ask.tenant, now) {
                self.answer(waiting.from, &waiting.ask, now, sends);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Whether an ask can be answered now; one about a tenant that is not kept here always can.
    fn is_authorized(&self, tenant: &TenantName, now: Timestamp) -> bool {
        bank_group(&self.catalog.claim_roster, tenant)
            .and_then(|(index, _)| self.authorities.get(&index))
            .is_none_or(|authority| authority.is_valid(now))
    }

    fn answer(
        &mut self,
        from: NodeName,
        ask: &LimitAsk,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) {
        let granted = self.grant(&from, ask, now);
        let grant = LimitGrant {
            tenant: ask.tenant.clone(),
            serial: ask.serial,
            granted,
        };
        sends.push(LimitSend {
            to: from,
            message: grant.into(),
        });
    }

    fn grant(&mut self, from: &NodeName, ask: &LimitAsk, now: Timestamp) -> LimitCost {
        let nothing = LimitCost::default();
        let Some(tenant) = self.catalog.tenants.get(&ask.tenant) else {
            return nothing;
        };
        let limits = tenant.limits;
        let Some((index, _)) = bank_group(&self.catalog.claim_roster, &ask.tenant) else {
            return nothing;
        };
        if !self.authorities.contains_key(&index) {
            return nothing;
        }
        self.open_account(index, &ask.tenant, &limits, now);
        let valid = self.authorities[&index].is_valid(now);
        let Some(account) = self.accounts.get_mut(&ask.tenant) else {
            return nothing;
        };
        let newer = account.note(from, ask, now);
        if newer && valid {
            account.grant(from, ask, &self.settings, now)
        } else {
            nothing
        }
    }

    fn confirm_authority(&mut self, index: usize, now: Timestamp, sends: &mut Vec<LimitSend>) {
        let Some(authority) = self.authorities.get_mut(&index) else {
            return;
        };
        let banks = authority.start_round(&self.name, &self.settings, now);
        let (epoch, round) = (authority.epoch(), authority.round());
        sends.extend(banks.into_iter().map(|to| LimitSend {
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
        let sets = self.authorities[&index].bank_sets(now);
        let own_name = &self.name;
        let share = |limit: u64| {
            sets.iter()
                .map(|banks| share_of(limit, banks, own_name, tenant))
                .min()
                .unwrap_or_default()
        };
        let opened_at = self.authorities[&index].unbounded_since(now);
        self.accounts
            .entry(tenant.clone())
            .or_insert_with(|| BankAccount::new(opened_at, now))
            .set_limits(limits, share, now);
    }

    fn forget_idle(&mut self, now: Timestamp) {
        if now < self.forget_at {
            return;
        }
        self.forget_at = now.after(IDLE_ACCOUNT / 4);
        self.accounts
            .retain(|_, account| now < account.used_at().after(IDLE_ACCOUNT));
    }
}
