//! Work asked for by tenant.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;
use crate::identity::TenantName;
use crate::quota::Meter;

/// Averaging time. It spans several requests of an ordinary tenant at one of many nodes.
const WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of tenants. When it is reached, those that ask for nothing are forgotten.
const MAX_TENANTS: usize = 1_024;
/// Work per second below which a tenant counts as asking for nothing.
const IDLE_RATE: f64 = 1e-3;

#[derive(Debug)]
struct Tenant {
    asked: Meter,
    requests: Meter,
    weight: f64,
}

impl Tenant {
    fn new(now: Timestamp) -> Self {
        Self {
            asked: Meter::new(WINDOW, now),
            requests: Meter::new(WINDOW, now),
            weight: 1.0,
        }
    }

    fn note(&mut self, weight: f64, work: f64, now: Timestamp) {
        self.weight = weight;
        self.asked.count(work, now);
        self.requests.count(1.0, now);
    }

    /// Work per second that the tenant asks for, less one standard deviation. A tenant of which a node sees few requests
    /// asks for more than usual there by chance alone, which does not make it greedy.
    fn certain_rate(&self, now: Timestamp) -> f64 {
        let requests = self.requests.per_second(now) * WINDOW.as_secs_f64();
        let certainty = 1.0 - 1.0 / requests.max(1.0).sqrt();
        self.asked.per_second(now) * certainty
    }
}

/// Work that callers of this node ask for, by tenant.
#[derive(Debug, Default)]
pub struct TenantMix {
    tenants: BTreeMap<TenantName, Tenant>,
}

impl TenantMix {
    /// Records a request of a tenant with this weight.
    pub fn note(&mut self, name: &TenantName, weight: f64, work: f64, now: Timestamp) {
        if let Some(tenant) = self.tenants.get_mut(name) {
            tenant.note(weight, work, now);
            return;
        }
        if self.tenants.len() >= MAX_TENANTS {
            self.tenants
                .retain(|_, tenant| tenant.asked.per_second(now) > IDLE_RATE);
        }
        if self.tenants.len() < MAX_TENANTS {
            let mut tenant = Tenant::new(now);
            tenant.note(weight, work, now);
            self.tenants.insert(name.clone(), tenant);
        }
    }

    /// The share of the tenant's work that is admitted when `share` of all work is, the same amount for each unit of
    /// weight, where what a tenant does not ask for goes to the others (max-min fairness). `share` for a tenant that is not
    /// known. `asked` is what all tenants ask for now.
    pub fn share(&self, name: &TenantName, share: f64, asked: f64, now: Timestamp) -> f64 {
        let Some(own) = self.tenants.get(name) else {
            return share;
        };
        let tenants = self.tenants.values();
        let demands = tenants.map(|tenant| (tenant.certain_rate(now), tenant.weight));
        let demands: Vec<_> = demands.collect();
        // What a tenant begins to ask for many times as much is in its average only later.
        let averaged: f64 = demands.iter().map(|(rate, _)| rate).sum();
        let level = fair_level(demands, share * asked.max(averaged));
        let rate = own.certain_rate(now).max(f64::MIN_POSITIVE);
        (level * own.weight / rate).min(1.0)
    }
}

/// Admitted work per unit of weight of the tenants that ask for more than that, when work of this rate is admitted in all.
/// `demands` holds the rate and weight of each tenant.
fn fair_level(mut demands: Vec<(f64, f64)>, mut room: f64) -> f64 {
    let per_weight = |(rate, weight): &(f64, f64)| rate / weight;
    demands.sort_unstable_by(|left, right| per_weight(left).total_cmp(&per_weight(right)));
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
    for (rate, weight) in demands {
        let level = room / weights.max(f64::MIN_POSITIVE);
        if rate / weight > level {
            return level;
        }
        room -= rate;
        weights -= weight;
    }
    f64::INFINITY
}
