//! Counts this process's requests at an engine while they are in progress.

use std::cell::RefCell;
use std::rc::Rc;

use super::EngineLoad;
use crate::shedding::WaitingWork;

/// Guard that counts one request at an engine until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    counter: Rc<RefCell<EngineLoad>>,
    load: EngineLoad,
    /// Counts the request as waiting at its pool.
    waiting: Option<WaitingWork>,
}

impl InFlight {
    /// Adds `load` to `counter` until the guard is dropped.
    pub fn new(counter: Rc<RefCell<EngineLoad>>, load: EngineLoad) -> Self {
        counter.borrow_mut().add(load);
        Self {
            counter,
            load,
            waiting: None,
        }
    }

    /// Counts the request as waiting at its pool until the first token arrives.
    pub fn waiting(mut self, waiting: Option<WaitingWork>) -> Self {
        self.waiting = waiting;
        self
    }

    /// Records that the first token has arrived, so the prompt is prefilled.
    pub fn note_prefill_done(&mut self) {
        let read = EngineLoad {
            unread_tokens: self.load.unread_tokens,
            ..EngineLoad::default()
        };
        self.counter.borrow_mut().remove(read);
        self.load.unread_tokens = 0;
        self.note_begun();
    }

    /// Records that the engine has begun to answer.
    pub fn note_begun(&mut self) {
        if let Some(mut waiting) = self.waiting.take() {
            waiting.note_begun();
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.counter.borrow_mut().remove(self.load);
    }
}
