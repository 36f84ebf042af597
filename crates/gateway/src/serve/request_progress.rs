//! What is known of a request while it is held.

use std::cell::{Cell, RefCell};

use super::accepted_request::AcceptedRequest;
use super::engine_list_state::EngineListState;
use super::request_phase::RequestPhase;
use crate::upstream::ConnectionUse;

/// What is known of a request while it is held, for the line that tells of one that ends unserved;
/// see docs/design/accounting.md.
#[derive(Debug, Default)]
pub(super) struct RequestProgress {
    /// Where it was held last; `None` while an attempt is under way.
    phase: Cell<RequestPhase>,
    is_waiting: Cell<bool>,
    /// The connection that the attempt under way uses, once there is one.
    pub(super) connection_use: Cell<Option<ConnectionUse>>,
    /// The list of engines when the last attempt began.
    pub(super) engine_list: Cell<EngineListState>,
    /// Whether the attempt under way was doubted, but not given up.
    pub(super) is_overdue: Cell<bool>,
    /// Its kind, once its route is known.
    pub(super) kind: Cell<Option<&'static str>>,
    pub(super) route: RefCell<String>,
    pub(super) attempts_left: Cell<u32>,
    pub(super) may_have_run: Cell<bool>,
}

impl RequestProgress {
    /// Its route is known.
    pub(super) fn note_accepted(&self, request: &AcceptedRequest) {
        self.kind.set(Some(request.kind_label()));
        self.route.replace(request.route.name.clone());
        self.attempts_left.set(request.route.max_attempts);
    }

    /// An attempt begins.
    pub(super) fn begin_attempt(&self) {
        self.connection_use.set(None);
        self.is_overdue.set(false);
        self.is_waiting.set(true);
    }

    /// No attempt waits for its answer any more.
    pub(super) fn set_phase(&self, phase: RequestPhase) {
        self.is_waiting.set(false);
        self.phase.set(phase);
    }

    /// Where it is held.
    pub(super) fn phase(&self) -> RequestPhase {
        match self.is_waiting.get() {
            true => RequestPhase::waiting(self.connection_use.get()),
            false => self.phase.get(),
        }
    }

    /// Whether it may have run: an attempt under way whose end is not known may have, too.
    pub(super) fn may_have_run(&self) -> bool {
        let is_sent = self.is_waiting.get() && self.connection_use.get().is_some();
        is_sent || self.may_have_run.get()
    }
}
