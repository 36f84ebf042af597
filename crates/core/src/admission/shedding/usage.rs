//! Load of a pool at some nodes.

/// What some nodes do at a pool for requests of one urgency, in units of work: tokens to prefill for a pool of models.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Work per second that callers ask for, including what is refused.
    pub asked: f64,
    /// Work per second that engines begin to answer.
    pub begun: f64,
    /// Work that was sent to engines and has not begun.
    pub waiting: f64,
}

impl Usage {
    /// Adds the usage at other nodes.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.begun += other.begun;
        self.waiting += other.waiting;
    }

    /// The usage when only this share of the work that waits and is asked for can begin. Work that begins has been asked for.
    pub(super) fn held_back(self, share: f64) -> Self {
        Self {
            asked: (self.asked * share).max(self.begun.min(self.asked)),
            begun: self.begun,
            waiting: self.waiting * share,
        }
    }

    /// The usage of this many nodes like this one.
    pub fn times(self, nodes: usize) -> Self {
        let factor = nodes as f64;
        Self {
            asked: self.asked * factor,
            begun: self.begun * factor,
            waiting: self.waiting * factor,
        }
    }
}
