//! Claims of requests that run at most once, in the simulation.

use ryerouter_core::Timestamp;
use ryerouter_core::claim::{ClaimGrant, ClaimId, ClaimOutcome};
use ryerouter_core::control::{ControlEvent, OperationId};
use ryerouter_core::dispatch::{FinalOutcome, Refusal, RefusalReason, RunState};
use ryerouter_core::identity::{IdempotencyKey, TenantName};

use super::router_process::SubmissionProgress;
use super::{Cluster, ClusterLayout, Mutation, ProcessId};

/// Operations of claims are numbered from here, those of changes below.
const CLAIM_OPERATIONS: u64 = 1 << 40;

impl Cluster {
    /// Claims the key of a submission before it is dispatched.
    pub(super) fn claim(&mut self, process: ProcessId, submission: u64) {
        if let Some(progress) = self.progress(process, submission) {
            progress.claiming = true;
        }
        let operation = OperationId(CLAIM_OPERATIONS + submission);
        if self.has_mutation(Mutation::ClaimWithoutQuorum) {
            self.claim_answered(process, operation, unasked_grant());
            return;
        }
        let Some((tenant, key)) = self.claimed_key(submission) else {
            return;
        };
        let event = ControlEvent::ClaimRequested {
            operation,
            tenant,
            key,
        };
        self.control(process, event);
    }

    pub(super) fn claim_answered(
        &mut self,
        process: ProcessId,
        operation: OperationId,
        outcome: ClaimOutcome,
    ) {
        let submission = operation.0 - CLAIM_OPERATIONS;
        let Some(progress) = self.progress(process, submission) else {
            self.release_unwanted(process, submission, &outcome);
            return;
        };
        progress.claiming = false;
        match outcome {
            ClaimOutcome::Granted(grant) => {
                progress.grant = Some(grant);
                self.dispatch_submission(process, submission);
            }
            ClaimOutcome::AlreadyClaimed | ClaimOutcome::KeyExpired => {
                self.refuse_unclaimed(process, submission, RefusalReason::AlreadyClaimed);
            }
            ClaimOutcome::Unavailable { .. } => {
                self.refuse_unclaimed(process, submission, RefusalReason::ClaimUnavailable);
            }
        }
    }

    /// Another submission of a key that a caller gives may have run, so nothing better is known.
    fn refuse_unclaimed(&mut self, process: ProcessId, submission: u64, reason: RefusalReason) {
        if let Some(running) = self.running(process) {
            running.submissions.remove(&submission);
        }
        let refusal = Refusal {
            reason,
            run_state: RunState::Unknown,
            retry_after: None,
        };
        self.refuse(process, submission, refusal);
        self.stop_when_idle(process);
    }

    /// Gives a claim back that was granted after its caller had left.
    fn release_unwanted(&mut self, process: ProcessId, submission: u64, outcome: &ClaimOutcome) {
        if !matches!(outcome, ClaimOutcome::Granted(_)) {
            return;
        }
        if let Some((tenant, key)) = self.left_keys.remove(&submission) {
            self.control(process, ControlEvent::ClaimReleased { tenant, key });
        }
    }

    /// Ends the claim of a submission that is over, or gives it back when nothing has run.
    pub(super) fn settle_claim(
        &mut self,
        process: ProcessId,
        submission: u64,
        progress: &SubmissionProgress,
        outcome: &FinalOutcome,
    ) {
        if progress.grant.is_none() {
            return;
        }
        let key = self.claimed_key(submission);
        let Some((tenant, key)) = key.or_else(|| self.left_keys.remove(&submission)) else {
            return;
        };
        let not_run = matches!(
            outcome,
            FinalOutcome::Refused(Refusal {
                run_state: RunState::NotRun,
                ..
            })
        );
        let event = if not_run {
            ControlEvent::ClaimReleased { tenant, key }
        } else {
            ControlEvent::ClaimEnded { tenant, key }
        };
        self.control(process, event);
    }

    /// Whether the leave to run a submission has ended, as it has for a process that was paused.
    pub(super) fn claim_has_lapsed(&mut self, process: ProcessId, submission: u64) -> bool {
        let now = self.clock_of(process.node);
        self.progress(process, submission)
            .and_then(|progress| progress.grant)
            .is_some_and(|grant| now >= grant.dispatch_before)
    }

    /// Remembers the key of a submission whose caller leaves, and forgets the submission if it was
    /// still waiting for its claim.
    pub(super) fn leave_claim(&mut self, process: ProcessId, submission: u64) {
        let Some(key) = self.claimed_key(submission) else {
            return;
        };
        self.left_keys.insert(submission, key);
        let claiming = self
            .progress(process, submission)
            .is_some_and(|progress| progress.claiming);
        if claiming && let Some(running) = self.running(process) {
            running.submissions.remove(&submission);
            self.stop_when_idle(process);
        }
    }

    fn claimed_key(&self, submission: u64) -> Option<(TenantName, IdempotencyKey)> {
        let asked = self.submissions.get(&submission)?;
        let tenant = TenantName::new(ClusterLayout::tenant_name(asked.tenant));
        let key = IdempotencyKey::new(asked.at_most_once_key.as_ref()?);
        Some((tenant, key))
    }

    fn progress(&mut self, process: ProcessId, submission: u64) -> Option<&mut SubmissionProgress> {
        self.running(process)?.submissions.get_mut(&submission)
    }
}

/// The mistake of a node that does not ask the keepers.
fn unasked_grant() -> ClaimOutcome {
    ClaimOutcome::Granted(ClaimGrant {
        claim: ClaimId(0),
        dispatch_before: Timestamp::from_micros(u64::MAX),
    })
}
