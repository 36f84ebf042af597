//! Size and load of a simulated cluster.

use std::time::Duration;

use super::Mutation;

/// Size and load of a simulated cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterSettings {
    /// Seed of everything random.
    pub seed: u64,
    /// Router processes, spread evenly over zones.
    pub nodes: usize,
    /// Zones, spread evenly over two regions with one data centre each.
    pub zones: usize,
    /// Model engines, spread over zones.
    pub engines: usize,
    /// Plain service processes, spread over zones; fewer than zones, so that some calls must leave
    /// their zone.
    pub services: usize,
    /// Tenants; the last one has a limit on requests a second.
    pub tenants: usize,
    /// Mean time between requests over all callers.
    pub request_interval: Duration,
    /// Mean time between operators' changes.
    pub change_interval: Duration,
    /// Length of the run, without the time it needs to come to rest.
    pub duration: Duration,
    /// A deliberate mistake, to show that the oracle sees it.
    pub mutation: Option<Mutation>,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 9,
            zones: 3,
            engines: 5,
            services: 2,
            tenants: 8,
            request_interval: Duration::from_millis(150),
            change_interval: Duration::from_secs(25),
            duration: Duration::from_secs(300),
            mutation: None,
        }
    }
}
