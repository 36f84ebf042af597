//! An operator's question for the state of the cluster.

use std::time::Duration;

use crate::membership::MembershipTable;
use crate::timestamp::Timestamp;

use super::OperationId;

/// An operator's question for the state of the cluster, while nodes answer.
#[derive(Debug, Clone, Copy)]
pub struct StatusQuery {
    /// The operator's call.
    pub operation: OperationId,
    /// When nodes were asked.
    pub asked_at: Timestamp,
}

impl StatusQuery {
    /// How long nodes have to answer.
    const PATIENCE: Duration = Duration::from_secs(1);

    /// Whether all live nodes have answered or had time enough.
    pub fn is_answered(&self, table: &MembershipTable, now: Timestamp) -> bool {
        let has_answered = |heard_at: Option<Timestamp>| heard_at > Some(self.asked_at);
        now.since(self.asked_at) >= Self::PATIENCE
            || table.live().all(|member| has_answered(member.heard_at))
    }
}
