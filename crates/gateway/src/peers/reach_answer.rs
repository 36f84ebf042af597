//! Answer to the question which engines a node reaches.

use ryerouter_core::identity::BackEndName;
use serde::{Deserialize, Serialize};

use super::ReachQuestion;
use super::readable::readable;

/// Which engines of a question a node reaches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachAnswer {
    /// Fencing number of the holder that asked.
    #[serde(rename = "f")]
    pub fence: u64,
    /// Number of its question.
    #[serde(rename = "n")]
    pub round: u64,
    /// The engines that answered.
    #[serde(rename = "e", deserialize_with = "readable")]
    pub reached: Vec<BackEndName>,
}

impl ReachAnswer {
    /// Whether this answers a question.
    pub fn is_to(&self, question: &ReachQuestion) -> bool {
        (self.fence, self.round) == (question.fence, question.round)
    }
}
