//! When own messages were sent.

use std::collections::VecDeque;

use ryerouter_core::Timestamp;

/// Messages whose times are kept.
const MOST_KEPT: usize = 128;

/// When the last messages of this node were sent.
#[derive(Debug, Default)]
pub struct SentTimes {
    sent: VecDeque<(u64, Timestamp)>,
}

impl SentTimes {
    /// A message is being sent.
    pub fn note(&mut self, sequence: u64, at: Timestamp) {
        if self.sent.len() >= MOST_KEPT {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, at));
    }

    /// When a message was sent, if that is still known.
    pub fn of(&self, sequence: u64) -> Option<Timestamp> {
        let index = self
            .sent
            .binary_search_by_key(&sequence, |(number, _)| *number);
        index.ok().map(|index| self.sent[index].1)
    }
}
