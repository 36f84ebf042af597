//! Queue that is fair among tenants.

use std::collections::{BTreeMap, VecDeque};

use super::QueuedRequest;
use crate::identity::{RequestId, TenantName};

/// Requests of one tenant in order of arrival.
#[derive(Debug, Clone, Default)]
struct TenantQueue {
    requests: VecDeque<QueuedRequest>,
    /// Virtual time at which the tenant's next request starts.
    virtual_start: f64,
}

/// A queue that is fair among tenants by weight (start-time fair queueing).
///
/// Tenants take turns by a virtual clock; each request advances its tenant's start time by cost ÷
/// weight. A tenant that was idle starts at the current virtual time, so it neither gains nor
/// loses turns for the time in which it was idle.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    /// Tenants with waiting requests, and those whose next start lies ahead of the virtual clock.
    tenants: BTreeMap<TenantName, TenantQueue>,
    virtual_now: f64,
    len: usize,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a request to those of its tenant.
    pub fn push(&mut self, request: QueuedRequest) {
        let virtual_now = self.virtual_now;
        let tenant = self.tenants.entry(request.tenant.clone()).or_default();
        if tenant.requests.is_empty() {
            tenant.virtual_start = tenant.virtual_start.max(virtual_now);
        }
        tenant.requests.push_back(request);
        self.len += 1;
    }

    /// The next request in turn.
    pub fn first(&self) -> Option<&QueuedRequest> {
        let tenant = self.next_tenant()?;
        self.tenants[tenant].requests.front()
    }

    /// Removes and returns the next request in turn.
    pub fn take_first(&mut self) -> Option<QueuedRequest> {
        let name = self.next_tenant()?.clone();
        let tenant = self.tenants.get_mut(&name)?;
        let request = tenant.requests.pop_front()?;
        self.virtual_now = tenant.virtual_start;
        let weight = f64::from(request.weight.max(1));
        tenant.virtual_start += f64::from(request.cost.max(1)) / weight;
        self.len -= 1;
        self.remove_idle_tenants();
        Some(request)
    }

    /// Removes the newest request of the tenant with the most waiting requests, to make room.
    pub fn evict_newest_of_longest(&mut self) -> Option<QueuedRequest> {
        let name = self
            .tenants
            .iter()
            .max_by_key(|(_, tenant)| tenant.requests.len())
            .map(|(name, _)| name.clone())?;
        let request = self.tenants.get_mut(&name)?.requests.pop_back()?;
        self.len -= 1;
        Some(request)
    }

    /// Removes one request if it waits here.
    pub fn remove(&mut self, tenant: &TenantName, request: &RequestId) -> Option<QueuedRequest> {
        let queue = &mut self.tenants.get_mut(tenant)?.requests;
        let position = queue.iter().position(|queued| queued.request == *request)?;
        let removed = queue.remove(position)?;
        self.len -= 1;
        Some(removed)
    }

    /// The oldest request of each tenant.
    pub fn oldest(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.tenants
            .values()
            .filter_map(|tenant| tenant.requests.front())
    }

    fn next_tenant(&self) -> Option<&TenantName> {
        self.tenants
            .iter()
            .filter(|(_, tenant)| !tenant.requests.is_empty())
            .min_by(|(_, left), (_, right)| left.virtual_start.total_cmp(&right.virtual_start))
            .map(|(name, _)| name)
    }

    /// Removes tenants that have no waiting requests and whose next start does not lie ahead of the
    /// virtual clock.
    fn remove_idle_tenants(&mut self) {
        let virtual_now = self.virtual_now;
        self.tenants
            .retain(|_, tenant| !tenant.requests.is_empty() || tenant.virtual_start > virtual_now);
    }
}
