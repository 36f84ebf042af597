//! Answers seen by all nodes.

use std::collections::BTreeMap;

use super::{CountKey, Counts, Judgement};

/// Identifies who reports answers: one incarnation of a node, or a zone for which the sum over its
/// nodes is reported.
pub type Reporter = u64;

/// Answers that this node and the others have seen during a release.
///
/// The counters of each reporter only increase, and so does their sum. A node that doesn't report
/// for a while is not counted twice afterwards, and the answers reported by a lost node stay
/// counted.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    own: Counts,
    reports: BTreeMap<Reporter, Counts>,
}

impl Evidence {
    /// Counts an answer that this node saw.
    pub fn note(&mut self, key: CountKey, judgement: Judgement) {
        self.own.note(key, judgement);
    }

    /// Merges a report with all answers that another reporter has seen.
    pub fn merge_report(&mut self, reporter: Reporter, counts: &Counts) {
        self.reports.entry(reporter).or_default().merge_max(counts);
    }

    /// Answers that this node has seen itself.
    pub fn own(&self) -> &Counts {
        &self.own
    }

    /// Answers seen by this node and by those reporters for which `is_counted` returns `true`.
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

    /// Answers seen by this node and all reporters.
    pub fn total(&self) -> Counts {
        self.total_of(|_| true)
    }
}
