//! Answers of this node that the system has not taken entirely.

use std::rc::Rc;

use super::Gateway;

/// A connection with an answer that is in progress or of which bytes are still to be written, counted until dropped.
pub(crate) struct UnwrittenAnswer(Rc<Gateway>);

impl Drop for UnwrittenAnswer {
    fn drop(&mut self) {
        self.0.state_mut().unwritten_answers -= 1;
    }
}

impl Gateway {
    /// Counts a connection with an answer to write.
    pub(crate) fn count_unwritten_answer(self: &Rc<Self>) -> UnwrittenAnswer {
        self.state_mut().unwritten_answers += 1;
        UnwrittenAnswer(Rc::clone(self))
    }
}
