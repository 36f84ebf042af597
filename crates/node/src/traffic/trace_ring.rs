//! The last ended requests.

use std::collections::VecDeque;

use parking_lot::Mutex;
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

    /// The latest ended request with this id.
    pub fn find(&self, request: &RequestId) -> Option<RequestTrace> {
        let traces = self.traces.lock();
        let found = traces.iter().rev().find(|trace| trace.request == *request);
        found.cloned()
    }
}
