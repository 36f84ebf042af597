//! What all nodes have seen.

use std::collections::BTreeMap;

use super::{CountKey, Counts, Judgement};

/// Who reports: one life of a node, or one that sums up many.
pub type Reporter = u64;

/// Answers that this node and the others have seen in a release.
///
/// Each reporter's figures only rise, so the sum does too: a node that is silent for a while, or is
/// lost, is counted once and not anew, and what it saw before stays known.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    own: Counts,
    reports: BTreeMap<Reporter, Counts>,
}

impl Evidence {
    /// This node saw an answer.
    pub fn note(&mut self, key: CountKey, judgement: Judgement) {
        self.own.note(key, judgement);
    }

    /// Another node reports all that it has seen.
    pub fn merge_report(&mut self, reporter: Reporter, counts: &Counts) {
        self.reports.entry(reporter).or_default().merge_max(counts);
    }

    /// What this node has seen itself.
    pub fn own(&self) -> &Counts {
        &self.own
    }

    /// What this node and the reporters of a kind have seen.
    pub fn total_of(&self, is_counted: impl Fn(Reporter) -> bool) -> Counts {
        let mut total = self.own.clone();
        for (_, counts) in self
            .reports
            .iter()
            .filter(|(reporter, _)| is_counted(**reporter))
        {
            total.add_all(counts);
        }
        total
    }

    /// What all have seen.
    pub fn total(&self) -> Counts {
        self.total_of(|_| true)
    }
}
