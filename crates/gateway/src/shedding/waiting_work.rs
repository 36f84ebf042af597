//! Counts work at a pool until an engine begins it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::admission::shedding::{Shedder, Ticket, Urgency};

use crate::clock::Clock;

/// Guard that counts work as waiting until an engine begins it or the guard is dropped.
#[derive(Debug)]
pub struct WaitingWork {
    shedder: Rc<RefCell<Shedder>>,
    clock: Clock,
    urgency: Urgency,
    work: f64,
    /// `None` once an engine has begun the work.
    ticket: Option<Ticket>,
}

impl WaitingWork {
    /// Counts work that is sent to an engine now, for a caller with this target latency.
    pub fn new(
        shedder: Rc<RefCell<Shedder>>,
        clock: Clock,
        urgency: Urgency,
        work: f64,
        target: Duration,
    ) -> Self {
        let ticket = shedder
            .borrow_mut()
            .begin_wait(urgency, work, target, clock.now());
        Self {
            shedder,
            clock,
            urgency,
            work,
            ticket: Some(ticket),
        }
    }

    /// Records that an engine has begun to answer.
    pub fn note_begun(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let mut shedder = self.shedder.borrow_mut();
            shedder.note_begun(self.urgency, ticket, self.work, self.clock.now());
        }
    }
}

impl Drop for WaitingWork {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let mut shedder = self.shedder.borrow_mut();
            shedder.note_given_up(self.urgency, ticket);
        }
    }
}
