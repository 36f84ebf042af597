//! The open connections of a listener.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use ryerouter_core::Timestamp;
use slog::{info, warn};
use tokio::sync::Notify;

use super::usage::Usage;
use super::{DescriptorShare, OpenConnection};
use crate::gateway::Gateway;
use crate::telemetry::LogSampler;

/// The open connections of a listener, and how many there may be.
pub struct OpenConnections {
    gateway: Rc<Gateway>,
    most: Box<dyn Fn() -> usize>,
    entries: RefCell<BTreeMap<u64, Rc<Usage>>>,
    next_id: Cell<u64>,
    changed: Notify,
    sampler: LogSampler,
}

impl OpenConnections {
    /// Within this share of what the process may open.
    pub fn within(gateway: &Rc<Gateway>, share: DescriptorShare) -> Rc<Self> {
        Self::at_most(gateway, move || share.most_connections())
    }

    /// As many as this says at the time.
    pub fn at_most(gateway: &Rc<Gateway>, most: impl Fn() -> usize + 'static) -> Rc<Self> {
        Rc::new(Self {
            gateway: Rc::clone(gateway),
            most: Box::new(most),
            entries: RefCell::default(),
            next_id: Cell::new(0),
            changed: Notify::new(),
            sampler: LogSampler::default(),
        })
    }

    pub(super) fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    pub(super) fn now(&self) -> Timestamp {
        self.gateway.clock().now()
    }

    /// Counts one more.
    pub(super) fn open(self: &Rc<Self>) -> OpenConnection {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let usage = Rc::new(Usage::new(self.now()));
        self.entries.borrow_mut().insert(id, Rc::clone(&usage));
        OpenConnection::new(Rc::clone(self), id, usage)
    }

    /// Counts one less.
    pub(super) fn forget(&self, id: u64) {
        self.entries.borrow_mut().remove(&id);
        self.note_change();
    }

    /// A connection ended, became idle, or stays open though it was asked to close.
    pub(super) fn note_change(&self) {
        self.changed.notify_waiters();
    }

    /// Resolves once there are no more than allowed; until then those that have been idle longest
    /// are closed. One with a request in progress never is: then this waits for its end.
    pub(super) async fn until_within_bound(&self) {
        loop {
            // Made first, so that no change is missed.
            let changed = self.changed.notified();
            let excess = self.excess();
            if excess == 0 {
                return;
            }
            let closing = self.closing();
            if closing < excess && !self.close_longest_idle() {
                self.log_full();
            }
            changed.await;
        }
    }

    fn excess(&self) -> usize {
        let open = self.entries.borrow().len();
        // The limit is not asked for when there is nothing to bound.
        if open <= 1 {
            return 0;
        }
        open.saturating_sub((self.most)())
    }

    fn closing(&self) -> usize {
        let entries = self.entries.borrow();
        let closing = entries.values().filter(|entry| entry.is_asked_to_close());
        closing.count()
    }

    /// Asks the connection that has been idle longest to close; `false` when none is idle.
    pub(super) fn close_longest_idle(&self) -> bool {
        let entries = self.entries.borrow();
        let idle = entries.values();
        let idle = idle.filter_map(|entry| Some((entry.idle_since()?, entry)));
        let Some((since, longest)) = idle.min_by_key(|(since, _)| *since) else {
            return false;
        };
        longest.ask_to_close();
        let now = self.now();
        if let Some(left_out) = self.sampler.admit(now) {
            info!(self.gateway.log(), "idle_connection_closed"; "open" => entries.len(),
                "most" => (self.most)(), "idle_ms" => now.since(since).as_millis() as u64,
                "left_out" => left_out);
        }
        true
    }

    fn log_full(&self) {
        if let Some(left_out) = self.sampler.admit(self.now()) {
            warn!(self.gateway.log(), "connections_full"; "open" => self.entries.borrow().len(),
                "most" => (self.most)(), "left_out" => left_out);
        }
    }
}
