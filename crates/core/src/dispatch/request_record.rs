//! A request in the dispatcher.

use std::collections::BTreeSet;

use crate::identity::{AttemptId, WeightsVersion};
use crate::placement::{EngineKey, PlacementPoints, PrefixWidth};
use crate::timestamp::Timestamp;

use super::{RefusalReason, Repeatability, RequestProfile, ResumePoint, RunState};

/// A request from its arrival to its final outcome.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) profile: RequestProfile,
    /// The only weights it may run at, fixed at arrival: its prefix hashes hold for no other.
    pub(super) weights_version: Option<WeightsVersion>,
    /// Its prefixes that placement considers.
    pub(super) points: PlacementPoints,
    /// Over how many engines each of its outer prefixes is spread, fixed at arrival.
    pub(super) widths: Vec<PrefixWidth>,
    /// Whether its shared prefix was asked for before.
    pub(super) is_recurring: bool,
    pub(super) attempts_made: u32,
    /// What is known over all attempts that have ended.
    pub(super) run_state: RunState,
    /// Back ends that failed it and are not asked again.
    pub(super) failed_engines: BTreeSet<EngineKey>,
    /// Chunks of the answer that reached the caller, over all attempts.
    pub(super) delivered_chunks: u64,
    pub(super) running_attempt: Option<AttemptId>,
    /// When it came into the queue, while it waits there.
    pub(super) queued_at: Option<Timestamp>,
    /// When it is given up, and why, while it waits in the queue.
    pub(super) expires_at: Timestamp,
    pub(super) expiry_reason: RefusalReason,
}

impl RequestRecord {
    pub(super) fn new(profile: RequestProfile, weights_version: Option<WeightsVersion>) -> Self {
        Self {
            points: PlacementPoints::of(&profile.prefix),
            profile,
            weights_version,
            widths: Vec::new(),
            is_recurring: false,
            attempts_made: 0,
            run_state: RunState::NotRun,
            failed_engines: BTreeSet::new(),
            delivered_chunks: 0,
            running_attempt: None,
            queued_at: None,
            expires_at: Timestamp::ZERO,
            expiry_reason: RefusalReason::QueueFull,
        }
    }

    /// Whether it may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        self.profile.repeatability == Repeatability::Repeatable
    }

    /// Whether another attempt may run it again from the start or from what the caller has.
    pub(super) fn may_run_again(&self) -> bool {
        self.is_repeatable() || self.run_state == RunState::NotRun
    }

    /// Whether part of the answer has reached the caller.
    pub(super) fn has_delivered_chunks(&self) -> bool {
        self.delivered_chunks > 0
    }

    /// When its first token must have come; a begun stream has met its deadline.
    pub(super) fn first_token_deadline(&self) -> Option<Timestamp> {
        self.profile
            .deadline
            .filter(|_| !self.has_delivered_chunks())
    }

    /// Takes what an ended attempt says of whether the request ran; knowledge only rises.
    pub(super) fn record_run_state(&mut self, state: RunState) {
        self.run_state = match (self.run_state, state) {
            (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        };
    }

    /// Where an attempt on another back end starts.
    pub(super) fn continuation(&self) -> Option<ResumePoint> {
        self.has_delivered_chunks()
            .then_some(ResumePoint::Continue {
                delivered_chunks: self.delivered_chunks,
            })
    }
}
