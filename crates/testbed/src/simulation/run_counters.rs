//! What a run counts.

use serde::Serialize;

/// What a run counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct RunCounters {
    /// Submissions sent.
    pub requests: u64,
    /// Answers that arrived whole.
    pub completed: u64,
    /// Refusals as not run.
    pub refused_not_run: u64,
    /// Refusals that say the request ran or may have run.
    pub refused_ran_or_unknown: u64,
    /// Submissions whose node died.
    pub lost_with_node: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Streams that went on after a break.
    pub resumed: u64,
    /// Changes of configuration accepted.
    pub changes_accepted: u64,
    /// Changes of configuration refused or of unknown outcome.
    pub changes_refused: u64,
    /// Faults brought about.
    pub faults: u64,
}
