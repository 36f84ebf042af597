//! What is known of a request while it is held.

use std::cell::{Cell, RefCell};

use super::accepted_request::AcceptedRequest;
use super::held_at::HeldAt;
use super::list_state::ListState;
use crate::upstream::ConnectionUse;

/// What is known of a request while it is held, for the line that tells of one that ends unserved;
/// see docs/design/accounting.md.
#[derive(Debug, Default)]
pub(super) struct HeldRequest {
    /// Where it was held last; `None` while an attempt is under way.
    at: Cell<HeldAt>,
    is_waiting: Cell<bool>,
    /// The connection that the attempt under way uses, once there is one.
    pub(super) used: Cell<Option<ConnectionUse>>,
    /// The list of engines when the last attempt began.
    pub(super) list: Cell<ListState>,
    /// Whether the attempt under way was doubted, but not given up.
    pub(super) is_doubted: Cell<bool>,
    /// Its kind, once its route is known.
    pub(super) kind: Cell<Option<&'static str>>,
    pub(super) route: RefCell<String>,
    pub(super) attempts_left: Cell<u32>,
    pub(super) may_have_run: Cell<bool>,
}

impl HeldRequest {
    /// Its route is known.
    pub(super) fn accepted(&self, request: &AcceptedRequest) {
        self.kind.set(Some(request.kind_label()));
        self.route.replace(request.route.name.clone());
        self.attempts_left.set(request.route.most_attempts);
    }

    /// An attempt begins.
    pub(super) fn attempt_begins(&self) {
        self.used.set(None);
        self.is_doubted.set(false);
        self.is_waiting.set(true);
    }

    /// No attempt waits for its answer any more.
    pub(super) fn is_at(&self, at: HeldAt) {
        self.is_waiting.set(false);
        self.at.set(at);
    }

    /// Where it is held.
    pub(super) fn at(&self) -> HeldAt {
        match self.is_waiting.get() {
            true => HeldAt::waiting(self.used.get()),
            false => self.at.get(),
        }
    }

    /// Whether it may have run: an attempt under way whose end is not known may have, too.
    pub(super) fn may_have_run(&self) -> bool {
        let is_sent = self.is_waiting.get() && self.used.get().is_some();
        is_sent || self.may_have_run.get()
    }
}
