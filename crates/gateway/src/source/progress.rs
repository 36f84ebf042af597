//! Progress of answers that come in parts.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the parts of answers that have come.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress(Rc<Cell<usize>>);

impl Progress {
    /// Counts a part of an answer.
    pub(super) fn note(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Number of parts so far.
    pub(super) fn count(&self) -> usize {
        self.0.get()
    }
}
