//! Usage of a tenant compared with its limit.

use ryerouter_core::identity::TenantName;
use ryerouter_core::quota::{Limit, Peers, Usage};

/// Share of its limit from which a tenant counts as near the limit.
const NEAR_SHARE: f64 = 0.8;

/// Usage of a tenant compared with its limit, as seen by one node.
#[derive(Debug, Clone, Copy)]
pub struct Standing<'a> {
    /// The tenant.
    pub tenant: &'a TenantName,
    /// Rate limit of the tenant.
    pub limit: &'a Limit,
    /// Amount that all nodes together may admit at once.
    pub balance: f64,
    /// Usage at this node.
    pub own: Usage,
    /// Number and usage of the other nodes.
    pub peers: Peers,
}

impl Standing<'_> {
    /// Amount per second that the tenant requests at all nodes.
    pub fn asked(&self) -> f64 {
        f64::from(self.own.asked) + self.peers.others.asked
    }

    /// Amount per second that is admitted at this node and at the nodes that report.
    pub fn admitted(&self) -> f64 {
        f64::from(self.own.admitted) + self.peers.others.admitted
    }

    /// Whether the tenant requests nearly as much as its limit, or more.
    pub fn is_near_limit(&self) -> bool {
        self.asked() >= self.limit.per_second * NEAR_SHARE
    }
}
