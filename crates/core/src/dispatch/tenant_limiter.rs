//! Enforcement of tenant limits before placement.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identity::{NodeName, RequestId, TenantName};
use crate::limit::{
    LimitClient, LimitCost, LimitDecision, LimitEnvelope, LimitGrant, LimitSettings,
};
use crate::timestamp::Timestamp;

use super::{DispatchAction, FinalOutcome, Refusal, RefusalReason, RequestProfile, RunState};

/// Maximum number of requests that wait for permits; further ones are refused immediately.
const MAX_WAITING: usize = 4_096;

/// Admits requests while their tenants have permits, and queues those that wait for permits.
#[derive(Debug)]
pub(super) struct TenantLimiter {
    client: LimitClient,
    settings: LimitSettings,
    waiting: BTreeMap<TenantName, VecDeque<RequestProfile>>,
    waiting_count: usize,
    /// Admitted requests that have not ended.
    admitted: BTreeMap<RequestId, TenantName>,
}

impl TenantLimiter {
    pub fn new(node: NodeName, started_at: Timestamp, settings: LimitSettings) -> Self {
        Self {
            client: LimitClient::new(node, started_at, settings),
            settings,
            waiting: BTreeMap::new(),
            waiting_count: 0,
            admitted: BTreeMap::new(),
        }
    }

    pub fn adopt(&mut self, catalog: Arc<Catalog>) {
        self.client.adopt(catalog);
    }

    /// Returns the request if it is admitted now; otherwise it is queued or refused.
    pub fn admit(
        &mut self,
        profile: RequestProfile,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) -> Option<RequestProfile> {
        let mut sends = Vec::new();
        let cost = cost_of(&profile);
        let decision = self
            .client
            .try_spend(&profile.tenant, &cost, now, &mut sends);
        push_sends(sends, actions);
        match decision {
            LimitDecision::Allowed => {
                self.record_admitted(&profile);
                return Some(profile);
            }
            LimitDecision::Waiting if self.waiting_count < MAX_WAITING => {
                self.waiting_count += 1;
                let queue = self.waiting.entry(profile.tenant.clone()).or_default();
                queue.push_back(profile);
            }
            LimitDecision::Waiting => {
                let retry_after = self.settings.retry_after;
                actions.push(refuse(profile.request, retry_after));
            }
            LimitDecision::Denied { retry_after } => {
                actions.push(refuse(profile.request, retry_after));
            }
        }
        None
    }

    /// Applies a grant from an allocator and returns the queued requests that are now admitted.
    pub fn receive(
        &mut self,
        from: &NodeName,
        grant: &LimitGrant,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) -> Vec<RequestProfile> {
        let mut sends = Vec::new();
        self.client.receive(from, grant, now, &mut sends);
        push_sends(sends, actions);
        self.admit_waiting(&grant.tenant, now, actions)
    }

    /// Advances the time and returns the queued requests that are now admitted.
    pub fn tick(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) -> Vec<RequestProfile> {
        let mut sends = Vec::new();
        self.client.tick(now, &mut sends);
        push_sends(sends, actions);
        let tenants: Vec<TenantName> = self.waiting.keys().cloned().collect();
        tenants
            .iter()
            .flat_map(|tenant| self.admit_waiting(tenant, now, actions))
            .collect()
    }

    /// Removes a queued request; returns whether it was queued.
    pub fn cancel(&mut self, request: &RequestId) -> bool {
        for queue in self.waiting.values_mut() {
            let before = queue.len();
            queue.retain(|profile| profile.request != *request);
            if queue.len() < before {
                self.waiting_count -= 1;
                return true;
            }
        }
        false
    }

    /// Releases the concurrent-stream slots of requests that have ended.
    pub fn record_finished(&mut self, actions: &[DispatchAction]) {
        for action in actions {
            if let DispatchAction::Finish { request, .. } = action
                && let Some(tenant) = self.admitted.remove(request)
            {
                self.client.stream_ended(&tenant);
            }
        }
    }

    fn record_admitted(&mut self, profile: &RequestProfile) {
        self.admitted
            .insert(profile.request.clone(), profile.tenant.clone());
    }

    /// Admits queued requests of a tenant in order of arrival, until one has to keep waiting.
    fn admit_waiting(
        &mut self,
        tenant: &TenantName,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) -> Vec<RequestProfile> {
        let mut admitted = Vec::new();
        let Some(mut queue) = self.waiting.remove(tenant) else {
            return admitted;
        };
        while let Some(profile) = queue.pop_front() {
            if profile.deadline.is_some_and(|deadline| deadline <= now) {
                self.waiting_count -= 1;
                actions.push(refuse(profile.request, self.settings.retry_after));
                continue;
            }
            let mut sends = Vec::new();
            let cost = cost_of(&profile);
            let decision = self.client.retry(tenant, &cost, now, &mut sends);
            push_sends(sends, actions);
            match decision {
                LimitDecision::Allowed => {
                    self.waiting_count -= 1;
                    self.record_admitted(&profile);
                    admitted.push(profile);
                }
                LimitDecision::Waiting => {
                    queue.push_front(profile);
                    self.waiting.insert(tenant.clone(), queue);
                    break;
                }
                LimitDecision::Denied { retry_after } => {
                    self.waiting_count -= 1;
                    actions.push(refuse(profile.request, retry_after));
                }
            }
        }
        admitted
    }
}

fn cost_of(profile: &RequestProfile) -> LimitCost {
    let tokens = u64::from(profile.prompt_tokens) + u64::from(profile.expected_output_tokens);
    LimitCost::of_request(tokens)
}

fn push_sends(sends: Vec<LimitEnvelope>, actions: &mut Vec<DispatchAction>) {
    actions.extend(sends.into_iter().map(DispatchAction::SendLimit));
}

fn refuse(request: RequestId, retry_after: std::time::Duration) -> DispatchAction {
    let refusal = Refusal {
        reason: RefusalReason::TenantLimit,
        run_state: RunState::NotRun,
        retry_after: Some(retry_after),
    };
    DispatchAction::Finish {
        request,
        outcome: FinalOutcome::Refused(refusal),
    }
}
