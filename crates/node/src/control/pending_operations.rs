//! Operators' calls that wait for an answer.

use std::collections::BTreeMap;

use ryerouter_core::config::{ChangeAccepted, ChangeRefusal};
use ryerouter_core::control::OperationId;
use tokio::sync::oneshot;

use super::ControlReport;

type ChangeReply = oneshot::Sender<Result<ChangeAccepted, ChangeRefusal>>;
type StatusReply = oneshot::Sender<ControlReport>;

/// Operators' calls that wait for an answer.
///
/// A call whose caller has left stays until its answer comes: a change that has been started is
/// carried through.
#[derive(Debug, Default)]
pub(super) struct PendingOperations {
    last: u64,
    changes: BTreeMap<OperationId, ChangeReply>,
    statuses: BTreeMap<OperationId, StatusReply>,
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
