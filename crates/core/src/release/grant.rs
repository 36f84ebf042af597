//! Permission that the director of a release gives to the nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Order, RejectedVersions, Stage, Window};

/// Permission that the director of a release gives to the nodes. It is valid for a short time, or
/// without limit if the stage is final.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The order of the release.
    #[serde(rename = "o")]
    pub order: Order,
    /// Revision of the source that contains the order; of two different orders, the one with the
    /// higher revision is in force.
    #[serde(rename = "v")]
    pub revision: u64,
    /// The stage of the release.
    #[serde(rename = "s")]
    pub stage: Stage,
    /// Share of new requests that go to the target version.
    #[serde(rename = "x", default)]
    pub share: f64,
    /// Engines of the target version that get these requests; all of them if `None`.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub window: Option<Window>,
    /// Fencing number of the director's lease.
    #[serde(rename = "f")]
    pub fence: u64,
    /// Number of the grant; increases with each grant under the same lease.
    #[serde(rename = "n")]
    pub number: u64,
    /// Time since the release began.
    #[serde(rename = "e")]
    pub elapsed: Duration,
    /// Other versions that were rejected, under earlier orders of the pool.
    #[serde(
        rename = "j",
        default,
        skip_serializing_if = "RejectedVersions::is_empty"
    )]
    pub rejected: RejectedVersions,
}

impl Grant {
    /// Whether this grant replaces `other` of the same pool, regardless of the order in which they
    /// arrive.
    ///
    /// A grant with a final stage is replaced only by one of a different order, or by one with a
    /// final stage that was recorded later in the source. The latter happens when a delayed record
    /// of one director conflicts with the verdict of the next; the operator sees the record, so it
    /// decides.
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.order != other.order {
            return self.revision > other.revision;
        }
        match (self.stage.is_final(), other.stage.is_final()) {
            (true, false) => true,
            (false, true) => false,
            (true, true) => self.final_rank() > other.final_rank(),
            (false, false) => (self.fence, self.number) > (other.fence, other.number),
        }
    }

    fn final_rank(&self) -> (u64, u64, u64) {
        (self.revision, self.fence, self.number)
    }
}
