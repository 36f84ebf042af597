//! The chain of prefixes of a prompt.

use serde::{Deserialize, Serialize};

use super::PrefixBlock;
use crate::identity::WeightsVersion;

/// The prefixes of one prompt, from the shortest to the whole prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PrefixChain {
    /// The weights version in the salt of every hash; the request must not run with any other.
    /// `None` for services without prompts and for requests that any version may serve.
    #[serde(default)]
    pub weights_version: Option<WeightsVersion>,
    /// The blocks in order of increasing `end_tokens`.
    pub blocks: Vec<PrefixBlock>,
}

impl PrefixChain {
    /// Estimated tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.blocks.last().map_or(0, |block| block.end_tokens)
    }

    /// The last block of each nesting level, from the outermost.
    pub fn level_ends(&self) -> impl Iterator<Item = &PrefixBlock> {
        let next_levels = self.blocks.iter().skip(1).map(|block| Some(block.level));
        self.blocks
            .iter()
            .zip(next_levels.chain(std::iter::once(None)))
            .filter(|(block, next_level)| *next_level != Some(block.level))
            .map(|(block, _)| block)
    }
}
