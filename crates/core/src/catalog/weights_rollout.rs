//! A change of a pool's weights on its way.

use serde::{Deserialize, Serialize};

use crate::identity::{PoolName, ResourceVersion, WeightsVersion};

const WHOLE_PERMILLE: u64 = 1_000;

/// A change of a pool's weights on its way: requests move to the new weights as engines load them.
///
/// Begins with the change that gives the pool its new weights version, ends when all engines
/// serve it; written by router processes, never by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRollout {
    /// The pool.
    pub pool: PoolName,
    /// The weights that engines served before.
    pub from: WeightsVersion,
    /// Share of requests that ask for the new weights, in thousandths.
    pub share_permille: u16,
    /// Version of the configuration that last changed it.
    #[serde(default)]
    pub version: ResourceVersion,
}

impl WeightsRollout {
    /// Whether requests with this sample (a hash, the same for prompts that share a prefix) ask
    /// for the new weights. One that does goes on doing so while the share rises.
    pub fn has_moved(&self, sample: u64) -> bool {
        sample % WHOLE_PERMILLE < u64::from(self.share_permille)
    }
}
