//! Recorded outcome of an order.

use derive_more::Display;

use super::{RejectedVersions, SoftwareVersion};

/// Outcome of a release, as shown to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The release is in progress.
    #[display("running")]
    Running,
    /// All requests have moved.
    #[display("completed")]
    Completed,
    /// The target version gets no more requests.
    #[display("rolled_back")]
    RolledBack,
}

/// Record stored next to an order in the source, where it outlives the nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The target version of the recorded release, which may belong to an earlier order.
    pub target: SoftwareVersion,
    /// Outcome of the release.
    pub outcome: Outcome,
    /// Other versions that were rejected, under earlier orders of the pool.
    pub rejected: RejectedVersions,
}
