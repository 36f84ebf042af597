//! What one connection is used for now.

use std::cell::{Cell, RefCell};

use ryerouter_core::Timestamp;
use tokio::sync::Notify;

use crate::gateway::UnwrittenAnswer;

/// What one connection is used for now.
pub(super) struct Usage {
    in_progress: Cell<u32>,
    unwritten: RefCell<Option<UnwrittenAnswer>>,
    begun: Cell<u64>,
    idle_since: Cell<Timestamp>,
    is_asked_to_close: Cell<bool>,
    asked: Notify,
    first_begun: Notify,
}

impl Usage {
    /// One that was opened now and has served nothing.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            in_progress: Cell::new(0),
            unwritten: RefCell::default(),
            begun: Cell::new(0),
            idle_since: Cell::new(now),
            is_asked_to_close: Cell::new(false),
            asked: Notify::new(),
            first_begun: Notify::new(),
        }
    }

    /// A request begins; `count` counts its answer as unwritten.
    pub(super) fn begin_request(&self, count: impl FnOnce() -> UnwrittenAnswer) {
        self.unwritten.borrow_mut().get_or_insert_with(count);
        self.in_progress.set(self.in_progress.get() + 1);
        self.begun.set(self.begun.get() + 1);
        self.first_begun.notify_waiters();
    }

    pub(super) fn end_request(&self) {
        self.in_progress.set(self.in_progress.get() - 1);
    }

    /// The system has taken all bytes of the answers so far; `true` if the connection becomes idle.
    pub(super) fn note_written(&self, now: Timestamp) -> bool {
        let becomes_idle = !self.has_request() && self.unwritten.take().is_some();
        if becomes_idle {
            self.idle_since.set(now);
        }
        becomes_idle
    }

    /// Since when it is idle; `None` while it is not, or once it was asked to close.
    pub(super) fn idle_since(&self) -> Option<Timestamp> {
        let may_close = self.is_idle() && !self.is_asked_to_close.get();
        may_close.then(|| self.idle_since.get())
    }

    /// Whether no request is in progress and no part of an answer is still to be written.
    pub(super) fn is_idle(&self) -> bool {
        self.unwritten.borrow().is_none()
    }

    /// Whether a request is in progress: its head was read, its answer is not complete.
    pub(super) fn has_request(&self) -> bool {
        self.in_progress.get() > 0
    }

    /// Whether any request was read on it.
    pub(super) fn has_served(&self) -> bool {
        self.begun.get() > 0
    }

    /// Resolves once any request was read on it.
    pub(super) async fn until_served(&self) {
        let first_begun = self.first_begun.notified();
        if self.has_served() {
            return;
        }
        first_begun.await;
    }

    pub(super) fn is_asked_to_close(&self) -> bool {
        self.is_asked_to_close.get()
    }

    /// Asks its task to close it.
    pub(super) fn ask_to_close(&self) {
        self.is_asked_to_close.set(true);
        self.asked.notify_one();
    }

    /// A request came in time: it stays open.
    pub(super) fn stay_open(&self, now: Timestamp) {
        self.is_asked_to_close.set(false);
        self.idle_since.set(now);
    }

    /// Resolves once it is asked to close.
    pub(super) async fn asked_to_close(&self) {
        self.asked.notified().await;
    }
}
