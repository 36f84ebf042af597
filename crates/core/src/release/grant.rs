//! What the director of a release allows the nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Order, Stage, Window};

/// What the director of a release allows the nodes, for a short time, unless the stage is final.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The order.
    #[serde(rename = "o")]
    pub order: Order,
    /// Revision of the source at which the order stood so: the higher one of two orders is in force.
    #[serde(rename = "v")]
    pub revision: u64,
    /// The stage of the release.
    #[serde(rename = "s")]
    pub stage: Stage,
    /// Share of new requests that goes to the target version.
    #[serde(rename = "x", default)]
    pub share: f64,
    /// Engines of the target version that it goes to; all without.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub window: Option<Window>,
    /// Fencing number of the director's lease.
    #[serde(rename = "f")]
    pub fence: u64,
    /// Rises with each grant of one holder of the lease.
    #[serde(rename = "n")]
    pub number: u64,
    /// How long the release had gone on.
    #[serde(rename = "e")]
    pub elapsed: Duration,
}

impl Grant {
    /// Whether this replaces another one of the same pool, in whatever order they arrive. A release that
    /// has come to its end stays there, unless there is another order, or the source holds another end: a
    /// late record of one director may meet the verdict of the next, and the operator goes by the record.
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
