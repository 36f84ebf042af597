//! The chain of prefixes of a prompt.

use serde::{Deserialize, Serialize};

use super::PrefixBlock;

/// The prefixes of one prompt, from the shortest to the whole prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PrefixChain {
    /// The blocks in order; `end_tokens` rises.
    pub blocks: Vec<PrefixBlock>,
}
