//! An attempt that gave no answer.

use ryerouter_core::dispatch::{AttemptOutcome, EngineObservation, NotRunReason};

use super::{LinkError, RejectedAnswer};

/// An attempt that gave no answer.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) error: LinkError,
    pub(crate) observation: Option<EngineObservation>,
    /// The back end's own words, where it refused the request itself.
    pub(crate) rejection: Option<Box<RejectedAnswer>>,
}

impl AttemptFailure {
    /// How the attempt ended.
    ///
    /// Invariant: `NotRun` only if no byte of the request was written, or if the back end said so
    /// in an answer that names the attempt.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match &self.error {
            LinkError::Connect { .. }
            | LinkError::ConnectTimeout
            | LinkError::NotWritten
            | LinkError::ClaimLapsed => AttemptOutcome::NotRun(NotRunReason::ConnectFailed),
            LinkError::Unwritable { .. } => AttemptOutcome::NotRun(NotRunReason::Rejected),
            // The attempt ran nothing; it was not even sent.
            LinkError::NotResumable => AttemptOutcome::NotRun(NotRunReason::IncarnationMismatch),
            LinkError::NotRun { reason, .. } => AttemptOutcome::NotRun(*reason),
            LinkError::Lost { .. }
            | LinkError::AnswerTimeout
            | LinkError::WrongAttempt { .. }
            | LinkError::WrongWeights { .. }
            | LinkError::NotAStream
            | LinkError::Failed { .. } => AttemptOutcome::Unknown,
        }
    }

    /// Whether nothing was sent because the claim may have lapsed. The request runs at most once,
    /// so an attempt before this one certainly did not run either.
    pub(crate) fn is_lapsed_claim(&self) -> bool {
        matches!(self.error, LinkError::ClaimLapsed)
    }

    /// Whether the back end may still be running the request.
    pub(crate) fn may_run(&self) -> bool {
        self.outcome() == AttemptOutcome::Unknown
    }
}

impl From<LinkError> for AttemptFailure {
    fn from(error: LinkError) -> Self {
        Self {
            error,
            observation: None,
            rejection: None,
        }
    }
}
