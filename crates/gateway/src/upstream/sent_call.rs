//! A call that was written to a connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;

use super::{CallTerms, Connection};

/// A call that was written to a connection, and what is known of that connection.
#[derive(Debug, Clone)]
pub(super) struct SentCall {
    pub(super) address: SocketAddr,
    pub(super) terms: CallTerms,
    pub(super) sent_at: Timestamp,
    pub(super) is_kept: bool,
    pub(super) opened_at: Timestamp,
    /// When the connection had last been heard from before the call.
    pub(super) heard_before: Timestamp,
    /// When it was last heard from.
    pub(super) heard_at: Rc<Cell<Timestamp>>,
}

impl SentCall {
    pub(super) fn new(
        connection: &Connection,
        terms: CallTerms,
        is_kept: bool,
        now: Timestamp,
    ) -> Self {
        Self {
            address: connection.address,
            terms,
            sent_at: now,
            is_kept,
            opened_at: connection.opened_at,
            heard_before: connection.heard_at.get(),
            heard_at: Rc::clone(&connection.heard_at),
        }
    }

    /// Whether the head of an answer has come.
    pub(super) fn is_heard(&self) -> bool {
        self.heard_at.get() > self.heard_before
    }

    /// Whether it is sent again when its answer is overdue by so much. A watch may be held again for
    /// its whole time: without that time left, its owner had better ask in another way.
    pub(super) fn is_repeated_after(&self, patience: Duration) -> bool {
        let rest = self.terms.limit.saturating_sub(self.terms.hold + patience);
        self.terms.is_repeatable && rest > self.terms.hold
    }

    pub(super) fn connection_kind(&self) -> &'static str {
        match self.is_kept {
            true => "kept",
            false => "new",
        }
    }
}
