//! The queue of a pool.

use super::{FairQueue, QueueLimits, QueuedRequest};
use crate::dispatch::Priority;
use crate::identity::{RequestId, TenantName};
use crate::timestamp::Timestamp;

/// The bounded queue of requests of one pool that wait for an engine with room: interactive work
/// before batch work, each fair among tenants, and batch work that waited long in between.
///
/// Continuations of begun streams wait apart: before all others and outside the bounds, because
/// their callers have part of the answer already. They are at most as many as streams were begun.
#[derive(Debug, Clone)]
pub struct RequestQueue {
    limits: QueueLimits,
    continuations: FairQueue,
    interactive: FairQueue,
    batch: FairQueue,
    /// Turns of interactive work since promoted batch work had one.
    turns_since_batch: u32,
}

impl RequestQueue {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            continuations: FairQueue::default(),
            interactive: FairQueue::default(),
            batch: FairQueue::default(),
            turns_since_batch: 0,
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.continuations.len() + self.new_request_count()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds the continuation of a begun stream, for which there is always a place.
    pub fn push_continuation(&mut self, request: QueuedRequest) {
        self.continuations.push(request);
    }

    /// The continuation whose turn it is.
    pub fn first_continuation(&self) -> Option<&QueuedRequest> {
        self.continuations.first()
    }

    /// Takes the continuation whose turn it is.
    pub fn take_first_continuation(&mut self) -> Option<QueuedRequest> {
        self.continuations.take_first()
    }

    /// Adds a new request. Returns the one that does not fit any more: it must be refused at once.
    ///
    /// A full queue gives up batch work for interactive work, and otherwise the newest request of
    /// the tenant that has most waiting, so one tenant cannot keep the others out.
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

    /// The new request whose turn it is.
    pub fn first(&self, now: Timestamp) -> Option<&QueuedRequest> {
        if self.batch_goes_first(now) {
            self.batch.first()
        } else {
            self.interactive.first()
        }
    }

    /// Takes the new request whose turn it is.
    pub fn take_first(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        if self.batch_goes_first(now) {
            self.turns_since_batch = 0;
            self.batch.take_first()
        } else {
            self.turns_since_batch += 1;
            self.interactive.take_first()
        }
    }

    /// Takes one request out, if it waits here.
    pub fn remove(&mut self, tenant: &TenantName, request: &RequestId) -> Option<QueuedRequest> {
        self.continuations
            .remove(tenant, request)
            .or_else(|| self.interactive.remove(tenant, request))
            .or_else(|| self.batch.remove(tenant, request))
    }

    /// Whether a continuation or a request of this priority waits, so that a newer one must not overtake it.
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
