//! Ranks of urgencies.

use std::collections::BTreeSet;

use ryerouter_core::admission::shedding::Urgency;

use super::{Route, Tenant};

/// Number of priorities that engines distinguish.
const ENGINE_PRIORITIES: usize = 10;

/// All urgencies that requests can have by the configuration, in order.
///
/// Engines know one priority for each request. The rank tells them also which of the requests of equally urgent tenants
/// goes first.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UrgencyRanks {
    urgencies: BTreeSet<Urgency>,
}

impl UrgencyRanks {
    /// Collects the urgencies of a configuration.
    pub fn new<'a>(routes: impl Iterator<Item = &'a Route>, tenants: &[Tenant]) -> Self {
        let mut priorities: BTreeSet<Option<u8>> =
            tenants.iter().map(|tenant| tenant.priority).collect();
        // Public routes have no tenant.
        priorities.insert(None);
        let urgencies = routes.flat_map(|route| {
            let of_route = |tenant: &Option<u8>| Urgency {
                tenant: tenant.unwrap_or(route.priority),
                route: route.priority,
            };
            priorities.iter().map(of_route).collect::<Vec<_>>()
        });
        Self {
            urgencies: urgencies.collect(),
        }
    }

    /// The rank of an urgency, 0 being the most urgent. Neighbours share a rank if there are more urgencies than engines
    /// distinguish.
    pub fn rank(&self, urgency: Urgency) -> u8 {
        let before = self.urgencies.range(..urgency).count();
        let groups = self.urgencies.len().div_ceil(ENGINE_PRIORITIES).max(1);
        // The urgency of an earlier configuration may be none of these.
        (before / groups).min(ENGINE_PRIORITIES - 1) as u8
    }
}
