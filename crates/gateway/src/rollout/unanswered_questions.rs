//! Questions in a row that an engine did not answer.

use ryerouter_core::Timestamp;

/// One question without an answer may be due to a lost packet or a restart of the engine.
const MIN_IN_A_ROW: u32 = 2;

/// Questions in a row that an engine did not answer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UnansweredQuestions {
    in_a_row: u32,
    /// When the last one was given up.
    last_at: Timestamp,
}

impl UnansweredQuestions {
    /// Records one more.
    pub(super) fn note(&mut self, now: Timestamp) {
        self.in_a_row += 1;
        self.last_at = now;
    }

    /// When the last one was given up.
    pub(super) fn last_at(&self) -> Timestamp {
        self.last_at
    }

    /// Whether the engine is out of reach, as far as these tell.
    pub(super) fn is_unreached(&self) -> bool {
        self.in_a_row >= MIN_IN_A_ROW
    }
}
