//! The queue of a pool.

use super::{FairQueue, QueueLimits, QueuedRequest};
use crate::dispatch::Priority;
use crate::identity::{RequestId, TenantName};
use crate::timestamp::Timestamp;

/// The bounded queue of a pool's requests that wait for an engine with room. Interactive requests
/// come before batch requests, each fair among tenants; batch requests that have waited long get
/// turns in between.
///
/// Continuations of partially answered streams wait in a queue of their own, ahead of all others
/// and outside the bounds, because their callers already have part of the response. There are never
/// more of them than streams that were partially answered.
#[derive(Debug, Clone)]
pub struct RequestQueue {
    limits: QueueLimits,
    continuations: FairQueue,
    interactive: FairQueue,
    batch: FairQueue,
    /// Turns of interactive requests since the last turn of a promoted batch request.
    turns_since_batch: u32,
}

impl RequestQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            continuations: FairQueue::default(),
            interactive: FairQueue::default(),
            batch: FairQueue::default(),
            turns_since_batch: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.continuations.len() + self.new_request_count()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds the continuation of a partially answered stream, which is never refused.
    pub fn push_continuation(&mut self, request: QueuedRequest) {
        self.continuations.push(request);
    }

    /// The next continuation in turn.
    pub fn first_continuation(&self) -> Option<&QueuedRequest> {
        self.continuations.first()
    }

    /// Removes and returns the next continuation in turn.
    pub fn take_first_continuation(&mut self) -> Option<QueuedRequest> {
        self.continuations.take_first()
    }

    /// Adds a new request. Returns a request that no longer fits and must be refused at once.
    ///
    /// A full queue evicts a batch request if there is one, otherwise an interactive request. It
    /// evicts the newest request of the tenant with the most waiting requests, so that one tenant
    /// cannot keep others out.
    pub fn push(&mut self, request: QueuedRequest) -> Option<QueuedRequest> {
        let priority = request.priority;
        self.queue_mut(priority).push(request);
        if self.batch.len() > self.limits.batch_capacity {
            return self.batch.evict_newest_of_longest();
        }
        if self.new_request_count() > self.limits.capacity {
            let newest_batch = self.batch.evict_newest_of_longest();
            return newest_batch.or_else(|| self.interactive.evict_newest_of_longest());
        }
        None
    }

    /// The next new request in turn.
    pub fn first(&self, now: Timestamp) -> Option<&QueuedRequest> {
        if self.batch_goes_first(now) {
            self.batch.first()
        } else {
            self.interactive.first()
        }
    }

    /// Removes and returns the next new request in turn.
    pub fn take_first(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        if self.batch_goes_first(now) {
            self.turns_since_batch = 0;
            self.batch.take_first()
        } else {
            self.turns_since_batch += 1;
            self.interactive.take_first()
        }
    }

    /// Removes one request if it waits here.
    pub fn remove(&mut self, tenant: &TenantName, request: &RequestId) -> Option<QueuedRequest> {
        self.continuations
            .remove(tenant, request)
            .or_else(|| self.interactive.remove(tenant, request))
            .or_else(|| self.batch.remove(tenant, request))
    }

    /// Whether a new request of this priority must queue, because a continuation or a request that
    /// it must not overtake is waiting.
    pub fn must_queue(&self, priority: Priority) -> bool {
        match priority {
            Priority::Interactive => {
                !(self.continuations.is_empty() && self.interactive.is_empty())
            }
            Priority::Batch => !self.is_empty(),
        }
    }

    fn new_request_count(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    fn queue_mut(&mut self, priority: Priority) -> &mut FairQueue {
        match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        }
    }

    fn batch_goes_first(&self, now: Timestamp) -> bool {
        if self.interactive.is_empty() {
            return true;
        }
        let promotion = self.limits.batch_promotion;
        let has_waited = |request: &QueuedRequest| now.since(request.queued_at) >= promotion;
        let is_its_turn = self.turns_since_batch + 1 >= self.limits.turns_per_promotion;
        is_its_turn && self.batch.oldest().any(has_waited)
    }
}
