//! Corrections of the rates that other nodes report.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::quota::{Settlement, Usage};

use super::{TenantKey, UsageUpdate};

/// The report before the present one of the same source.
#[derive(Debug, Clone)]
pub struct EarlierReport {
    /// The usage of tenants in it.
    pub usages: HashMap<TenantKey, Usage>,
    /// How long its rates were valid.
    pub held: Duration,
}

impl EarlierReport {
    /// A report whose rates were valid for `held`.
    pub fn new(usages: &[UsageUpdate], held: Duration) -> Self {
        let usages = usages.iter();
        Self {
            usages: usages
                .map(|UsageUpdate(tenant, usage)| (*tenant, *usage))
                .collect(),
            held,
        }
    }
}

/// By how much the amounts of tenants differ from the rates that other nodes reported.
#[derive(Debug, Default)]
pub struct Settlements {
    of_tenants: HashMap<TenantKey, Settlement>,
}

impl Settlements {
    /// Takes in a report, and `before`, the one that it replaces.
    pub fn add<'a>(
        &mut self,
        before: Option<&EarlierReport>,
        reports: impl Iterator<Item = &'a UsageUpdate>,
    ) {
        let held = before.map_or(Duration::ZERO, |before| before.held);
        for UsageUpdate(tenant, usage) in reports {
            let before = before.and_then(|before| before.usages.get(tenant));
            let settlement = self.of_tenants.entry(*tenant).or_default();
            settlement.add(before, usage, held);
        }
    }

    /// Running correction of a tenant.
    pub fn correction(&self, tenant: TenantKey) -> f64 {
        let settlement = self.of_tenants.get(&tenant);
        settlement.map_or(0.0, |settlement| settlement.correction)
    }

    /// Drops all tenants but those for which `is_kept` holds.
    pub fn retain(&mut self, is_kept: impl Fn(TenantKey) -> bool) {
        self.of_tenants.retain(|tenant, _| is_kept(*tenant));
    }
}
