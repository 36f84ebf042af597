//! Counter of answers.

use serde::{Deserialize, Serialize};

use super::Judgement;

/// Number of answers, and how many of them were bad.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All answers.
    #[serde(rename = "a")]
    pub answers: u32,
    /// Answers that failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// Answers that were slow.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub slow: u32,
}

impl Tally {
    /// Counts one answer.
    pub fn note(&mut self, judgement: Judgement) {
        self.answers += 1;
        match judgement {
            Judgement::Good => {}
            Judgement::Failed => self.failed += 1,
            Judgement::Slow => self.slow += 1,
        }
    }

    /// Number of answers that failed or were slow.
    pub fn bad(&self) -> u32 {
        self.failed + self.slow
    }

    /// Adds `other` to the counter.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// Takes the larger value of each field. Of two reports by one reporter, this is the later one.
    pub fn merge_max(&mut self, other: Self) {
        self.answers = self.answers.max(other.answers);
        self.failed = self.failed.max(other.failed);
        self.slow = self.slow.max(other.slow);
    }

    /// Answers counted since `earlier`.
    pub fn since(&self, earlier: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

// `skip_serializing_if` requires a function that takes a reference.
#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_zero(count: &u32) -> bool {
    *count == 0
}
