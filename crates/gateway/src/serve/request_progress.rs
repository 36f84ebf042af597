//! How far a request has come.

use std::cell::{Cell, RefCell};

use super::accepted_request::AcceptedRequest;
use super::engine_list_state::EngineListState;
use super::request_phase::RequestPhase;
use crate::upstream::ConnectionUse;

/// How far a request has come, for the log line about a request that ends unserved; see docs/design/accounting.md.
#[derive(Debug, Default)]
pub(super) struct RequestProgress {
    /// Phase of the request while no attempt waits for its answer.
    phase: Cell<RequestPhase>,
    /// Whether an attempt waits for its answer.
    is_waiting: Cell<bool>,
    /// The kind of connection that the current attempt uses, once it has one.
    pub(super) connection_use: Cell<Option<ConnectionUse>>,
    /// State of the engine list when the last attempt started.
    pub(super) engine_list: Cell<EngineListState>,
    /// Whether the current attempt has been silent for longer than usual, but was not given up.
    pub(super) is_overdue: Cell<bool>,
    /// Kind of the request, once its route is known.
    pub(super) kind: Cell<Option<&'static str>>,
    /// Name of the route, once it is known.
    pub(super) route: RefCell<String>,
    /// Number of attempts that may still be made.
    pub(super) attempts_left: Cell<u32>,
    /// Whether an earlier attempt may have run the request.
    pub(super) may_have_run: Cell<bool>,
}

impl RequestProgress {
    /// Records the route of the request.
    pub(super) fn note_accepted(&self, request: &AcceptedRequest) {
        self.kind.set(Some(request.kind_label()));
        self.route.replace(request.route.name.clone());
        self.attempts_left.set(request.route.max_attempts);
    }

    /// Records that an attempt starts.
    pub(super) fn begin_attempt(&self) {
        self.connection_use.set(None);
        self.is_overdue.set(false);
        self.is_waiting.set(true);
    }

    /// Records the phase in which the request is now that no attempt waits for its answer.
    pub(super) fn set_phase(&self, phase: RequestPhase) {
        self.is_waiting.set(false);
        self.phase.set(phase);
    }

    /// The current phase.
    pub(super) fn phase(&self) -> RequestPhase {
        match self.is_waiting.get() {
            true => RequestPhase::waiting(self.connection_use.get()),
            false => self.phase.get(),
        }
    }

    /// Whether the request may have run, which includes a current attempt that has a connection.
    pub(super) fn may_have_run(&self) -> bool {
        let is_sent = self.is_waiting.get() && self.connection_use.get().is_some();
        is_sent || self.may_have_run.get()
    }
}
