//! Names of prompt prefixes.

use serde::{Deserialize, Serialize};

/// Hash of a prefix of a prompt, of its salt (weights, tenant) and its model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartKey(pub u64);

/// Keys of a prompt's prefixes, the shortest first, each with the tokens to its end.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptKeys(pub Vec<(PartKey, u32)>);

impl PromptKeys {
    /// The prefixes that other requests may share: all but the whole prompt.
    pub fn shared(&self) -> &[(PartKey, u32)] {
        &self.0[..self.0.len().saturating_sub(1)]
    }
}
