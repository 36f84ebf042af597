//! The control work that requests cause on one node: tickets of tenants' limits and claims of keys.

use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::catalog::Catalog;
use ryerouter_core::identity::{NodeName, TenantName};
use ryerouter_core::limit::{
    LimitBorrower, LimitCost, LimitDecision, LimitGrant, LimitSend, LimitSettings,
};

use super::layout::{self, TENANTS};

/// Tenants whose callers stand beside one node.
const TENANTS_PER_NODE: usize = 3;
/// Distance between the tenants of a node, so that each tenant is served by several nodes.
const TENANT_STRIDE: usize = 151;
/// Prompt and output tokens of a request.
const TOKENS_PER_REQUEST: u64 = 2_000;

/// The control work that requests cause on one node.
pub struct Traffic {
    borrower: LimitBorrower,
    tenants: Vec<TenantName>,
    waiting: Vec<TenantName>,
}

impl Traffic {
    /// The traffic of a node that starts.
    pub fn new(node: usize, name: NodeName, now: Timestamp) -> Self {
        let tenants = (0..TENANTS_PER_NODE)
            .map(|turn| layout::tenant_name((node + turn * TENANT_STRIDE) % TENANTS))
            .collect();
        Self {
            borrower: LimitBorrower::new(name, now, LimitSettings::default()),
            tenants,
            waiting: Vec::new(),
        }
    }

    /// Takes the configuration in force.
    pub fn adopt(&mut self, catalog: &Arc<Catalog>) {
        self.borrower.adopt(Arc::clone(catalog));
    }

    /// One of the node's tenants.
    pub fn pick_tenant(&self, random: &mut ChaCha8Rng) -> TenantName {
        self.tenants[random.random_range(0..self.tenants.len())].clone()
    }

    /// A request arrives; says whether its limit has refused it.
    pub fn request(
        &mut self,
        tenant: TenantName,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) -> LimitDecision {
        let cost = LimitCost::of_request(TOKENS_PER_REQUEST);
        let decision = self.borrower.try_spend(&tenant, &cost, now, sends);
        if decision == LimitDecision::Waiting {
            self.waiting.push(tenant);
        }
        decision
    }

    /// A request is over.
    pub fn ended(&mut self, tenant: &TenantName) {
        self.borrower.stream_ended(tenant);
    }

    /// Takes a grant.
    pub fn granted(
        &mut self,
        from: &NodeName,
        grant: &LimitGrant,
        now: Timestamp,
        sends: &mut Vec<LimitSend>,
    ) {
        self.borrower.receive(from, grant, now, sends);
    }

    /// Lets time pass; gives the tenants whose waiting requests were allowed.
    pub fn tick(&mut self, now: Timestamp, sends: &mut Vec<LimitSend>) -> Vec<TenantName> {
        self.borrower.tick(now, sends);
        let cost = LimitCost::of_request(TOKENS_PER_REQUEST);
        let mut allowed = Vec::new();
        for tenant in std::mem::take(&mut self.waiting) {
            match self.borrower.retry(&tenant, &cost, now, sends) {
                LimitDecision::Allowed => allowed.push(tenant),
                LimitDecision::Waiting => self.waiting.push(tenant),
                LimitDecision::Denied { .. } => {}
            }
        }
        allowed
    }
}
