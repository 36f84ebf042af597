//! Queue of requests that wait for an engine with room.

use std::time::Duration;

use crate::admission::QueuedRequest;
use crate::dispatch::choice::{Choice, NoChoice};
use crate::dispatch::{DispatchAction, RefusalReason};
use crate::identity::{PoolName, RequestId};
use crate::timestamp::Timestamp;

use super::Dispatcher;

/// Maximum time an interrupted stream waits for a back end that can continue it. It is only reached
/// if no back end that serves its weights version becomes available.
const MAX_CONTINUATION_WAIT: Duration = Duration::from_secs(120);

impl Dispatcher {
    /// Queues a request until it can be placed, at most until its wait or its deadline ends.
    /// `first_token_in` is the estimated time to first token if an engine had room, or the time until
    /// an engine becomes available.
    pub(super) fn enqueue(
        &mut self,
        request: RequestId,
        first_token_in: Duration,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let optimistic_wait = first_token_in.mul_f64(self.parameters.optimistic_wait_share);
        let record = self.requests.get_mut(&request).expect("request is known");
        let latest_start = record
            .first_token_deadline()
            .map(|deadline| deadline.before(optimistic_wait));
        if latest_start.is_some_and(|latest_start| latest_start < now) {
            self.refuse(request, RefusalReason::Deadline, first_token_in, actions);
            return;
        }
        let priority = record.profile.priority;
        let (max_wait, timeout_reason) = if record.has_delivered_chunks() {
            (MAX_CONTINUATION_WAIT, RefusalReason::NoBackEnd)
        } else {
            let max_wait = self.parameters.queue_wait(priority);
            (max_wait, RefusalReason::QueueFull)
        };
        let wait_ends_at = now.after(max_wait);
        record.queued_at.get_or_insert(now);
        (record.expires_at, record.expiry_reason) = match latest_start {
            Some(latest_start) if latest_start <= wait_ends_at => {
                (latest_start, RefusalReason::Deadline)
            }
            _ => (wait_ends_at, timeout_reason),
        };
        self.queue_expiries
            .insert((record.expires_at, request.clone()));
        self.push_queued(&request, now, actions);
    }

    /// Adds a request to the queue of its pool, and refuses the request that it displaces if the
    /// queue is full.
    fn push_queued(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let record = &self.requests[request];
        let profile = &record.profile;
        let tenant = self.snapshot.catalog.tenants.get(&profile.tenant);
        let queued = QueuedRequest {
            request: request.clone(),
            tenant: profile.tenant.clone(),
            weight: tenant.map_or(1, |tenant| tenant.weight),
            priority: profile.priority,
            cost: profile
                .prompt_tokens
                .saturating_add(profile.expected_output_tokens),
            queued_at: record.queued_at.unwrap_or(now),
        };
        let pool = self.pools.get_mut(&profile.pool).expect("pool is known");
        if record.has_delivered_chunks() {
            pool.queue.push_continuation(queued);
        } else if let Some(displaced) = pool.queue.push(queued) {
            let retry_after = pool.service_rate.estimated_wait(pool.queue.len(), now);
            let request = displaced.request;
            self.remove_queue_expiry(&request);
            self.refuse(request, RefusalReason::QueueFull, retry_after, actions);
        }
    }

    /// Removes the expiry entry of a queued request; the caller removes the request from the queue.
    pub(super) fn remove_queue_expiry(&mut self, request: &RequestId) {
        let expires_at = self.requests[request].expires_at;
        self.queue_expiries.remove(&(expires_at, request.clone()));
    }

    pub(super) fn refuse_expired(&mut self, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        while let Some((expires_at, request)) = self.queue_expiries.first().cloned() {
            if expires_at > now {
                return;
            }
            self.queue_expiries.pop_first();
            let record = &self.requests[&request];
            let profile = &record.profile;
            let reason = record.expiry_reason;
            let pool = self.pools.get_mut(&profile.pool).expect("pool is known");
            pool.queue.remove(&profile.tenant, &request);
            let retry_after = pool.service_rate.estimated_wait(pool.queue.len() + 1, now);
            self.refuse(request, reason, retry_after, actions);
        }
    }

    pub(super) fn serve_all_queues(&mut self, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        let waiting: Vec<PoolName> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for pool in waiting {
            self.serve_queue(&pool, now, actions);
        }
    }

    /// Places queued requests in order until the next one has to keep waiting. Interrupted streams
    /// come first; if the next of them has to wait, new requests are still placed, because the free
    /// engines may be ones on which that stream has failed.
    pub(super) fn serve_queue(
        &mut self,
        pool: &PoolName,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        while let Some(first) = self.pools[pool].queue.first_continuation() {
            let request = first.request.clone();
            let Some(choice) = self.choose_unless_waiting(&request, now) else {
                break;
            };
            let pool = self.pools.get_mut(pool).expect("pool is known");
            pool.queue.take_first_continuation();
            self.start_dequeued(request, choice, now, actions);
        }
        while let Some(first) = self.pools[pool].queue.first(now) {
            let request = first.request.clone();
            let Some(choice) = self.choose_unless_waiting(&request, now) else {
                return;
            };
            let pool = self.pools.get_mut(pool).expect("pool is known");
            pool.queue.take_first(now);
            self.start_dequeued(request, choice, now, actions);
        }
    }

    /// The result of placement, or `None` if the request has to keep waiting.
    fn choose_unless_waiting(
        &self,
        request: &RequestId,
        now: Timestamp,
    ) -> Option<Result<Choice, NoChoice>> {
        let max_wait = self.parameters.max_unavailable_wait;
        match self.choose(request, now) {
            Err(NoChoice::NoRoom { .. }) => None,
            Err(NoChoice::Unavailable { until }) if until.since(now) <= max_wait => None,
            choice => Some(choice),
        }
    }

    /// Starts or refuses a request that the caller has just removed from its queue.
    fn start_dequeued(
        &mut self,
        request: RequestId,
        choice: Result<Choice, NoChoice>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.remove_queue_expiry(&request);
        match choice {
            Ok(choice) => self.start_unless_late(request, choice, now, actions),
            Err(NoChoice::Unavailable { until }) => {
                self.refuse(request, RefusalReason::NoBackEnd, until.since(now), actions);
            }
            Err(_) => self.refuse_without_engine(request, actions),
        }
    }
}
