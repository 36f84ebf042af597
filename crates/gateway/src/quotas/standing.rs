//! How a tenant stands against its limit.

use ryerouter_core::identity::TenantName;
use ryerouter_core::quota::{Limit, Peers, Usage};

/// From this share of its limit on a tenant counts as near it.
const NEAR_SHARE: f64 = 0.8;

/// How a tenant stands against its limit, as one node sees it.
#[derive(Debug, Clone, Copy)]
pub struct Standing<'a> {
    /// The tenant.
    pub tenant: &'a TenantName,
    /// Its limit.
    pub limit: &'a Limit,
    /// What all nodes may admit at once.
    pub balance: f64,
    /// What it uses at this node.
    pub own: Usage,
    /// The other nodes.
    pub peers: Peers,
}

impl Standing<'_> {
    /// What it asks for a second at all nodes.
    pub fn asked(&self) -> f64 {
        f64::from(self.own.asked) + self.peers.others.asked
    }

    /// What is admitted of it a second at the nodes that are heard.
    pub fn admitted(&self) -> f64 {
        f64::from(self.own.admitted) + self.peers.others.admitted
    }

    /// Whether it asks for nearly as much as its limit, or for more.
    pub fn is_near_limit(&self) -> bool {
        self.asked() >= self.limit.per_second * NEAR_SHARE
    }
}
