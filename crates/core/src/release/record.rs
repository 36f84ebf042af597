//! What is recorded of an order.

use derive_more::Display;

use super::SoftwareVersion;

/// How far a release has come, as the operator reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// It goes on.
    #[display("running")]
    Running,
    /// All requests have moved.
    #[display("completed")]
    Completed,
    /// The target version gets nothing any more.
    #[display("rolled_back")]
    RolledBack,
}

/// What is recorded of an order beside it: it outlives every node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The version that the record is about, which may be that of an order before.
    pub target: SoftwareVersion,
    /// How far it has come.
    pub outcome: Outcome,
}
