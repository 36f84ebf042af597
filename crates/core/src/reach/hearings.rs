//! The engines that this node heard from lately.

use std::collections::{BTreeSet, VecDeque};

use crate::identity::BackEndName;
use crate::timestamp::Timestamp;

/// Maximum number of answers kept.
const MAX_HEARINGS: usize = 256;

/// The engines that this node heard from lately.
#[derive(Debug, Default)]
pub(super) struct Hearings {
    answers: VecDeque<(Timestamp, BackEndName)>,
}

impl Hearings {
    pub(super) fn note(&mut self, engine: &BackEndName, now: Timestamp) {
        if let Some((at, _)) = self.answers.back_mut().filter(|last| last.1 == *engine) {
            *at = now;
            return;
        }
        if self.answers.len() >= MAX_HEARINGS {
            self.answers.pop_front();
        }
        self.answers.push_back((now, engine.clone()));
    }

    /// Number of engines heard from since then.
    pub(super) fn engines_since(&self, since: Timestamp) -> usize {
        let answers = self.answers.iter().rev();
        let recent = answers.take_while(|(at, _)| *at >= since);
        recent
            .map(|(_, engine)| engine)
            .collect::<BTreeSet<_>>()
            .len()
    }
}
