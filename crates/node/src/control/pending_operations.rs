//! Calls of operators and traffic threads that wait for an answer.

use std::collections::BTreeMap;

use ryerouter_core::claim::ClaimOutcome;
use ryerouter_core::config::{ChangeAccepted, ChangeRefusal};
use ryerouter_core::control::{ControlEvent, OperationId};
use tokio::sync::oneshot;

use super::ControlReport;
use super::pending_claim::PendingClaim;

type ChangeReply = oneshot::Sender<Result<ChangeAccepted, ChangeRefusal>>;
type StatusReply = oneshot::Sender<ControlReport>;

/// Calls of operators and traffic threads that wait for an answer.
///
/// A call whose caller has left stays until its answer comes: a change that has been started is
/// carried through.
#[derive(Debug, Default)]
pub(super) struct PendingOperations {
    last: u64,
    changes: BTreeMap<OperationId, ChangeReply>,
    statuses: BTreeMap<OperationId, StatusReply>,
    claims: BTreeMap<OperationId, PendingClaim>,
}

impl PendingOperations {
    pub(super) fn add_change(&mut self, reply: ChangeReply) -> OperationId {
        let operation = self.next();
        self.changes.insert(operation, reply);
        operation
    }

    pub(super) fn add_status(&mut self, reply: StatusReply) -> OperationId {
        let operation = self.next();
        self.statuses.insert(operation, reply);
        operation
    }

    pub(super) fn add_claim(&mut self, claim: PendingClaim) -> OperationId {
        let operation = self.next();
        self.claims.insert(operation, claim);
        operation
    }

    /// Answers a claim. Gives the event that gives it back when it is granted and nobody waits for
    /// it any more.
    pub(super) fn answer_claim(
        &mut self,
        operation: OperationId,
        outcome: ClaimOutcome,
    ) -> Option<ControlEvent> {
        let PendingClaim { tenant, key, reply } = self.claims.remove(&operation)?;
        let unwanted = reply.send(outcome).err()?;
        matches!(unwanted, ClaimOutcome::Granted(_))
            .then_some(ControlEvent::ClaimReleased { tenant, key })
    }

    pub(super) fn answer_change(
        &mut self,
        operation: OperationId,
        answer: Result<ChangeAccepted, ChangeRefusal>,
    ) {
        if let Some(reply) = self.changes.remove(&operation) {
            let _ = reply.send(answer);
        }
    }

    pub(super) fn answer_status(&mut self, operation: OperationId, report: ControlReport) {
        if let Some(reply) = self.statuses.remove(&operation) {
            let _ = reply.send(report);
        }
    }

    fn next(&mut self) -> OperationId {
        self.last += 1;
        OperationId(self.last)
    }
}
