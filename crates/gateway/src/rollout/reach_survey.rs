//! Questions to other nodes which engines they reach.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName};

use crate::peers::{MAX_QUESTIONED_ENGINES, ReachQuestion};

/// Number of nodes that are asked at once: each asks every engine of the question for a report.
const CANDIDATES: usize = 3;
/// An answer takes the time limit of a report and two messages. The holder asks a silent engine again
/// meanwhile and goes on if it answers, so one that is back for all nodes causes no handover.
const ROUND_TIME: Duration = Duration::from_secs(2);
/// Number of rounds that follow each other at once.
const QUICK_ROUNDS: u64 = 5;
/// The same as [`ROUND_TIME`] for later rounds: a region may be cut off for an hour.
const LATER_ROUND_TIME: Duration = Duration::from_secs(10);

/// Questions to other nodes which engines they reach, a few nodes at a time and by turns.
#[derive(Debug, Default)]
pub(super) struct ReachSurvey {
    /// The question of the current round, and when that is over.
    open: Option<(ReachQuestion, Timestamp)>,
    /// Number of rounds since the survey began.
    rounds: u64,
    /// Number of the last question. It rises from one survey to the next, so that no answer is taken
    /// for one to a later question.
    number: u64,
}

impl ReachSurvey {
    /// Ends the survey, since the holder waits for no engine.
    pub(super) fn clear(&mut self) {
        self.open = None;
        self.rounds = 0;
    }

    /// The question of the current round.
    pub(super) fn question(&self) -> Option<&ReachQuestion> {
        self.open.as_ref().map(|(question, _)| question)
    }

    /// Whether the current round is not over yet.
    pub(super) fn is_open(&self, now: Timestamp) -> bool {
        let open = self.open.as_ref();
        open.is_some_and(|(_, until)| now < *until)
    }

    /// Begins a round about a sample of these engines. Each round asks the next of these nodes.
    pub(super) fn begin_round(
        &mut self,
        fence: u64,
        engines: &[BackEndName],
        nodes: &[NodeName],
        now: Timestamp,
    ) {
        let is_quick = self.rounds < QUICK_ROUNDS;
        let time = if is_quick {
            ROUND_TIME
        } else {
            LATER_ROUND_TIME
        };
        let first = self.number as usize * CANDIDATES % nodes.len().max(1);
        let by_turns = nodes.iter().cycle().skip(first);
        let candidates = by_turns.take(CANDIDATES.min(nodes.len()));
        let step = engines.len().div_ceil(MAX_QUESTIONED_ENGINES).max(1);
        let sample = engines.iter().step_by(step);
        self.rounds += 1;
        self.number += 1;
        let question = ReachQuestion {
            fence,
            round: self.number,
            engines: sample.cloned().collect(),
            candidates: candidates.cloned().collect(),
        };
        self.open = Some((question, now.after(time)));
    }
}
