//! Work of this process at an engine, counted while it lasts.

use std::cell::RefCell;
use std::rc::Rc;

use super::EngineLoad;

/// Counts one request at an engine until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    counter: Rc<RefCell<EngineLoad>>,
    load: EngineLoad,
}

impl InFlight {
    /// Counts `load` in `counter` from now on.
    pub fn new(counter: Rc<RefCell<EngineLoad>>, load: EngineLoad) -> Self {
        counter.borrow_mut().add(load);
        Self { counter, load }
    }

    /// The first token arrived, so the prompt has been read.
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
