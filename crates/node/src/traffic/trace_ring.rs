//! The last ended requests.

use std::collections::VecDeque;

use parking_lot::Mutex;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::RequestId;

use super::RequestTrace;

/// The last ended requests, for operators who ask why one went where it did.
#[derive(Debug)]
pub struct TraceRing {
    traces: Mutex<VecDeque<RequestTrace>>,
    capacity: usize,
}

impl TraceRing {
    /// A ring of the last `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            traces: Mutex::default(),
            capacity,
        }
    }

    /// Adds an ended request; the oldest goes when the ring is full.
    pub fn push(&self, trace: RequestTrace) {
        if self.capacity == 0 {
            return;
        }
        let mut traces = self.traces.lock();
        if traces.len() >= self.capacity {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// The requests that ended at `since` or later, oldest first, as far as they are kept.
    pub(crate) fn ended_since(&self, since: Timestamp) -> Vec<RequestTrace> {
        let traces = self.traces.lock();
        let recent = traces.iter().filter(|trace| trace.ended_at >= since);
        recent.cloned().collect()
    }

    /// When the oldest request ended, if the ring is full.
    pub(crate) fn complete_since(&self) -> Option<Timestamp> {
        let traces = self.traces.lock();
        let full = traces.len() >= self.capacity;
        traces.front().filter(|_| full).map(|trace| trace.ended_at)
    }

    /// The latest ended request with this id.
    pub fn find(&self, request: &RequestId) -> Option<RequestTrace> {
        let traces = self.traces.lock();
        let found = traces.iter().rev().find(|trace| trace.request == *request);
        found.cloned()
    }
}
