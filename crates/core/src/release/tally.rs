//! Answers, counted.

use serde::{Deserialize, Serialize};

use super::Judgement;

/// Answers, and how many of them were bad.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All of them.
    #[serde(rename = "a")]
    pub answers: u32,
    /// Those that failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// Those that were slow.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub slow: u32,
}

impl Tally {
    /// One more.
    pub fn note(&mut self, judgement: Judgement) {
        self.answers += 1;
        match judgement {
            Judgement::Good => {}
            Judgement::Failed => self.failed += 1,
            Judgement::Slow => self.slow += 1,
        }
    }

    /// Those that were bad in either way.
    pub fn bad(&self) -> u32 {
        self.failed + self.slow
    }

    /// Adds others.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// The larger figure of each: of two reports by one reporter the later one.
    pub fn merge_max(&mut self, other: Self) {
        self.answers = self.answers.max(other.answers);
        self.failed = self.failed.max(other.failed);
        self.slow = self.slow.max(other.slow);
    }

    /// What has come since an earlier count.
    pub fn since(&self, earlier: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

// The signature is that of the serializer's condition.
#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_zero(count: &u32) -> bool {
    *count == 0
}
