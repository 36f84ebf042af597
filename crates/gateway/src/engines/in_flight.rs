//! Counts this process's requests at an engine while they are in progress.

use std::cell::RefCell;
use std::rc::Rc;

use super::EngineLoad;

/// Guard that counts one request at an engine until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    counter: Rc<RefCell<EngineLoad>>,
    load: EngineLoad,
}

impl InFlight {
    /// Adds `load` to `counter` until the guard is dropped.
    pub fn new(counter: Rc<RefCell<EngineLoad>>, load: EngineLoad) -> Self {
        counter.borrow_mut().add(load);
        Self { counter, load }
    }

    /// Records that the first token has arrived, so the prompt is prefilled.
    pub fn note_prefill_done(&mut self) {
        let read = EngineLoad {
            unread_tokens: self.load.unread_tokens,
            ..EngineLoad::default()
        };
        self.counter.borrow_mut().remove(read);
        self.load.unread_tokens = 0;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.counter.borrow_mut().remove(self.load);
    }
}
