//! A request in the dispatcher.

use std::collections::BTreeSet;

use crate::identity::{AttemptId, BackEndName, WeightsVersion};

use super::{Repeatability, RequestProfile, ResumePoint, RunState};

/// A request from its arrival to its final outcome.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) profile: RequestProfile,
    /// The only weights it may run at, fixed at arrival: its prefix hashes hold for no other.
    pub(super) weights_version: Option<WeightsVersion>,
    pub(super) attempts_made: u32,
    /// What is known over all attempts that have ended.
    pub(super) run_state: RunState,
    /// Back ends that failed it; they are asked again only when it is certain that nothing ran
    /// and no other is left.
    pub(super) failed: BTreeSet<BackEndName>,
    /// Chunks of the answer that reached the caller, over all attempts.
    pub(super) delivered_chunks: u64,
    pub(super) running: Option<AttemptId>,
}

impl RequestRecord {
    pub(super) fn new(profile: RequestProfile, weights_version: Option<WeightsVersion>) -> Self {
        Self {
            profile,
            weights_version,
            attempts_made: 0,
            run_state: RunState::NotRun,
            failed: BTreeSet::new(),
            delivered_chunks: 0,
            running: None,
        }
    }

    /// Whether another attempt may run it again from the start or from what the caller has.
    pub(super) fn may_run_again(&self) -> bool {
        match self.profile.repeatability {
            Repeatability::Repeatable => true,
            Repeatability::AtMostOnce(_) => self.run_state == RunState::NotRun,
        }
    }

    /// Takes what an ended attempt says of whether the request ran; knowledge only rises.
    pub(super) fn note_run_state(&mut self, state: RunState) {
        self.run_state = match (self.run_state, state) {
            (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        };
    }

    /// Where an attempt on another back end starts.
    pub(super) fn continuation(&self) -> Option<ResumePoint> {
        (self.delivered_chunks > 0).then_some(ResumePoint::Continue {
            delivered_chunks: self.delivered_chunks,
        })
    }
}
