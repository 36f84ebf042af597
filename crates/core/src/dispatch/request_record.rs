//! State of a request in the dispatcher.

use std::collections::BTreeSet;

use crate::identity::{AttemptId, WeightsVersion};
use crate::placement::{EngineKey, PlacementPoints, PrefixWidth};
use crate::timestamp::Timestamp;

use super::{RefusalReason, Repeatability, RequestProfile, ResumePoint, RunState};

/// State of a request from its arrival to its final outcome.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) profile: RequestProfile,
    /// The only weights version that may run the request, fixed at arrival because its prefix
    /// hashes are valid for no other version; `None` for service pools.
    pub(super) weights_version: Option<WeightsVersion>,
    /// Prefixes of the prompt that placement considers.
    pub(super) points: PlacementPoints,
    /// Number of engines over which each shared prefix is spread, fixed at arrival.
    pub(super) widths: Vec<PrefixWidth>,
    /// Whether an earlier request had the same longest shared prefix.
    pub(super) is_recurring: bool,
    pub(super) attempts_made: u32,
    /// Run state over all attempts that have ended.
    pub(super) run_state: RunState,
    /// Engines on which an attempt failed; they are not tried again.
    pub(super) failed_engines: BTreeSet<EngineKey>,
    /// Chunks of the answer delivered to the caller, over all attempts.
    pub(super) delivered_chunks: u64,
    pub(super) running_attempt: Option<AttemptId>,
    /// When the request was first queued; `None` once an attempt has started.
    pub(super) queued_at: Option<Timestamp>,
    /// When the request is refused if it is still queued.
    pub(super) expires_at: Timestamp,
    /// Reason for the refusal at `expires_at`.
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

    /// Whether the request may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        self.profile.repeatability == Repeatability::Repeatable
    }

    /// Whether another attempt may run the request, from the start or from the delivered chunks on.
    pub(super) fn may_run_again(&self) -> bool {
        self.is_repeatable() || self.run_state == RunState::NotRun
    }

    /// Whether part of the answer has reached the caller.
    pub(super) fn has_delivered_chunks(&self) -> bool {
        self.delivered_chunks > 0
    }

    /// Deadline of the first token; `None` once chunks were delivered, because the deadline is met.
    pub(super) fn first_token_deadline(&self) -> Option<Timestamp> {
        self.profile
            .deadline
            .filter(|_| !self.has_delivered_chunks())
    }

    /// Merges the run state of an ended attempt; the state only changes towards [`RunState::Ran`].
    pub(super) fn record_run_state(&mut self, state: RunState) {
        self.run_state = match (self.run_state, state) {
            (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        };
    }

    /// Where an attempt on another back end resumes; `None` when it starts from the beginning.
    pub(super) fn continuation(&self) -> Option<ResumePoint> {
        self.has_delivered_chunks()
            .then_some(ResumePoint::Continue {
                delivered_chunks: self.delivered_chunks,
            })
    }
}
