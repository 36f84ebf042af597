//! Tenant limits.

use std::collections::{HashMap, VecDeque};

use super::PromiseCheck;
use crate::oracle::{Observation, OracleLimits, Promise, Violation};

struct TenantSpending {
    per_second: Option<u64>,
    /// Limits in force within the last window count too: a lowered limit needs time to spread.
    recent_most_per_second: u64,
    changed_at_us: u64,
    spent: VecDeque<(u64, u64)>,
}

/// No window holds more spending than the limit and its burst allow.
pub struct LimitCheck {
    limits: OracleLimits,
    tenants: HashMap<String, TenantSpending>,
}

const MICROS_PER_SECOND: u64 = 1_000_000;
/// How long a lowered limit may take to spread, in microseconds.
const LIMIT_SPREAD_US: u64 = 20_000_000;

impl LimitCheck {
    /// A check that has seen nothing.
    pub fn new(limits: OracleLimits) -> Self {
        Self {
            limits,
            tenants: HashMap::new(),
        }
    }

    fn set_limit(&mut self, now_us: u64, tenant: &str, per_second: Option<u64>) {
        let spending = self
            .tenants
            .entry(tenant.to_owned())
            .or_insert(TenantSpending {
                per_second,
                recent_most_per_second: 0,
                changed_at_us: now_us,
                spent: VecDeque::new(),
            });
        spending.recent_most_per_second = spending.per_second.unwrap_or(u64::MAX);
        spending.per_second = per_second;
        spending.changed_at_us = now_us;
    }

    fn spend(&mut self, now_us: u64, tenant: &str, units: u64, found: &mut Vec<Violation>) {
        let Some(spending) = self.tenants.get_mut(tenant) else {
            return;
        };
        spending.spent.push_back((now_us, units));
        while spending
            .spent
            .front()
            .is_some_and(|(at, _)| at + self.limits.limit_window_us < now_us)
        {
            spending.spent.pop_front();
        }
        let Some(mut allowed_rate) = spending.per_second else {
            return;
        };
        if now_us < spending.changed_at_us + LIMIT_SPREAD_US {
            allowed_rate = allowed_rate.max(spending.recent_most_per_second);
        }
        let total: u64 = spending.spent.iter().map(|(_, units)| units).sum();
        let allowed_us = self.limits.limit_window_us + self.limits.limit_burst_us;
        let allowed = allowed_rate.saturating_mul(allowed_us) / MICROS_PER_SECOND
            + self.limits.limit_burst_units;
        if total > allowed {
            found.push(Violation {
                promise: Promise::TenantLimits,
                at_us: now_us,
                detail: format!("tenant={tenant} spent={total} allowed={allowed}"),
            });
        }
    }
}

impl PromiseCheck for LimitCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        match observation {
            Observation::LimitSet { tenant, per_second } => {
                self.set_limit(now_us, tenant, *per_second);
            }
            Observation::LimitSpent { tenant, units } => self.spend(now_us, tenant, *units, found),
            _ => {}
        }
    }
}
