//! Names of prompt parts.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a part of a prompt, of its salt (weights, tenant) and its model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartKey(pub u64);

impl PartKey {
    /// The key of the part called `id`.
    pub fn new(model: &str, salt: &str, id: &str) -> Self {
        let base = xxh3_64(salt.as_bytes()) ^ xxh3_64(model.as_bytes()).rotate_left(1);
        Self(xxh3_64_with_seed(id.as_bytes(), base))
    }
}

/// Keys of a prompt's parts in order, each with the tokens to its end. A part that is held is worth
/// something only where all parts before it are held as well.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptKeys(pub Vec<(PartKey, u32)>);

impl PromptKeys {
    /// The parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[(PartKey, u32)] {
        &self.0[..self.0.len().saturating_sub(1)]
    }
}
