//! Requests that the hollow nodes take, their claims and limits.

use super::*;

impl HollowCluster {
    pub(super) fn take_requests(&mut self, process: Process) {
        if self.requests_per_tick == 0.0 || !self.nodes[process.node].is_serving {
            return;
        }
        let now = self.now();
        let mut sends = Vec::new();
        let mut allowed = Vec::new();
        let count = self.draw_count(self.requests_per_tick);
        if let Some(traffic) = &mut self.nodes[process.node].traffic {
            allowed.extend(traffic.tick(now, &mut sends));
            for _ in 0..count {
                let tenant = traffic.pick_tenant(&mut self.random);
                match traffic.request(tenant.clone(), now, &mut sends) {
                    LimitDecision::Allowed => allowed.push(tenant),
                    LimitDecision::Waiting => self.request_totals.waited += 1,
                    LimitDecision::Denied { .. } => self.request_totals.denied += 1,
                }
            }
        }
        self.request_totals.requests += count;
        self.send_limits(process, sends);
        for tenant in allowed {
            self.begin_request(process, tenant);
        }
    }

    /// A whole number with the mean `mean`.
    pub(super) fn draw_count(&mut self, mean: f64) -> u64 {
        let whole = mean.floor();
        whole as u64 + u64::from(self.random.random_bool(mean - whole))
    }

    pub(super) fn begin_request(&mut self, process: Process, tenant: TenantName) {
        if !self.random.random_bool(self.marked) {
            let ends = ScaleEvent::RequestEnds {
                process,
                tenant,
                key: None,
            };
            self.schedule(REQUEST_LASTS, ends);
            return;
        }
        let key = time_ordered_key(self.now(), self.random.random());
        self.last_operation += 1;
        let operation = OperationId(FIRST_CLAIM + self.last_operation);
        self.claims.insert(operation, (tenant.clone(), key.clone()));
        let event = ControlEvent::ClaimRequested {
            operation,
            tenant,
            key,
        };
        self.give(process, event);
    }

    pub(super) fn claim_answered(
        &mut self,
        process: Process,
        operation: OperationId,
        outcome: ClaimOutcome,
    ) {
        let Some((tenant, key)) = self.claims.remove(&operation) else {
            return;
        };
        if matches!(outcome, ClaimOutcome::Granted(_)) {
            self.request_totals.claims_granted += 1;
            let ends = ScaleEvent::RequestEnds {
                process,
                tenant,
                key: Some(key),
            };
            self.schedule(REQUEST_LASTS, ends);
        } else {
            self.request_totals.claims_refused += 1;
            self.end_stream(process, &tenant);
        }
    }

    pub(super) fn request_ends(
        &mut self,
        process: Process,
        tenant: TenantName,
        key: Option<IdempotencyKey>,
    ) {
        if !self.nodes[process.node].runs(process) {
            return;
        }
        self.end_stream(process, &tenant);
        if let Some(key) = key {
            self.give(process, ControlEvent::ClaimEnded { tenant, key });
        }
    }

    pub(super) fn end_stream(&mut self, process: Process, tenant: &TenantName) {
        if let Some(traffic) = &mut self.nodes[process.node].traffic {
            traffic.ended(tenant);
        }
    }

    pub(super) fn send_limits(&mut self, process: Process, sends: Vec<LimitSend>) {
        for send in sends {
            self.give(process, ControlEvent::LimitSent(send));
        }
    }

    pub(super) fn limit_granted(&mut self, process: Process, from: &NodeName, grant: &LimitGrant) {
        let now = self.now();
        let mut sends = Vec::new();
        if let Some(traffic) = &mut self.nodes[process.node].traffic {
            traffic.granted(from, grant, now, &mut sends);
        }
        self.send_limits(process, sends);
    }
}
