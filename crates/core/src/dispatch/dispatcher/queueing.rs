//! Requests that wait for an engine with room.

use std::time::Duration;

use crate::admission::QueuedRequest;
use crate::dispatch::choice::{Blocked, Choice};
use crate::dispatch::{DispatchAction, RefusalReason};
use crate::identity::{PoolName, RequestId};
use crate::timestamp::Timestamp;

use super::Dispatcher;

/// How long a begun stream waits for a back end that can carry it on. It is only reached when
/// none comes back that serves its weights.
const CONTINUATION_PATIENCE: Duration = Duration::from_secs(120);

impl Dispatcher {
    pub(super) fn enqueue(
        &mut self,
        request: RequestId,
        first_token_in: Duration,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let certain_wait = first_token_in.mul_f64(self.parameters.deadline_certainty);
        let record = self.requests.get_mut(&request).expect("request is known");
        let last_start = record
            .first_token_deadline()
            .map(|deadline| deadline.before(certain_wait));
        if last_start.is_some_and(|last_start| last_start < now) {
            self.refuse(request, RefusalReason::Deadline, first_token_in, actions);
            return;
        }
        let priority = record.profile.priority;
        let (patience, given_up_for) = if record.has_begun() {
            (CONTINUATION_PATIENCE, RefusalReason::NoBackEnd)
        } else {
            let patience = self.parameters.queue_wait(priority);
            (patience, RefusalReason::QueueFull)
        };
        let patience_ends = now.after(patience);
        record.queued_at.get_or_insert(now);
        (record.give_up_at, record.give_up_reason) = match last_start {
            Some(last_start) if last_start <= patience_ends => {
                (last_start, RefusalReason::Deadline)
            }
            _ => (patience_ends, given_up_for),
        };
        self.give_up_times
            .insert((record.give_up_at, request.clone()));
        self.push_queued(&request, now, actions);
    }

    /// Puts a request into the queue of its pool, and refuses the one that does not fit any more.
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
        if record.has_begun() {
            pool.queue.push_continuation(queued);
        } else if let Some(given_up) = pool.queue.push(queued) {
            let retry_after = pool.service_rate.estimated_wait(pool.queue.len(), now);
            let request = given_up.request;
            self.leave_queue(&request);
            self.refuse(request, RefusalReason::QueueFull, retry_after, actions);
        }
    }

    /// Forgets that a request waits; its place in the queue itself is taken by the caller.
    pub(super) fn leave_queue(&mut self, request: &RequestId) {
        let give_up_at = self.requests[request].give_up_at;
        self.give_up_times.remove(&(give_up_at, request.clone()));
    }

    pub(super) fn give_up_overdue(&mut self, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        while let Some((give_up_at, request)) = self.give_up_times.first().cloned() {
            if give_up_at > now {
                return;
            }
            self.give_up_times.pop_first();
            let record = &self.requests[&request];
            let profile = &record.profile;
            let reason = record.give_up_reason;
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

    /// Places queued requests in order until the one whose turn it is finds no room: first those
    /// of begun streams. Where these can't go, because it failed them, new requests still may.
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
            self.leave_queue_for(request, choice, now, actions);
        }
        while let Some(first) = self.pools[pool].queue.first(now) {
            let request = first.request.clone();
            let Some(choice) = self.choose_unless_waiting(&request, now) else {
                return;
            };
            let pool = self.pools.get_mut(pool).expect("pool is known");
            pool.queue.take_first(now);
            self.leave_queue_for(request, choice, now, actions);
        }
    }

    /// `None` while a queued request has to go on waiting.
    fn choose_unless_waiting(
        &self,
        request: &RequestId,
        now: Timestamp,
    ) -> Option<Result<Choice, Blocked>> {
        let patience = self.parameters.unavailable_patience;
        match self.choose(request, now) {
            Err(Blocked::NoRoom { .. }) => None,
            Err(Blocked::Unavailable { until }) if until.since(now) <= patience => None,
            choice => Some(choice),
        }
    }

    /// Starts or refuses a request that has just been taken from its queue.
    fn leave_queue_for(
        &mut self,
        request: RequestId,
        choice: Result<Choice, Blocked>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.leave_queue(&request);
        match choice {
            Ok(choice) => self.start_unless_late(request, choice, now, actions),
            Err(Blocked::Unavailable { until }) => {
                self.refuse(request, RefusalReason::NoBackEnd, until.since(now), actions);
            }
            Err(_) => self.refuse_without_engine(request, actions),
        }
    }
}
