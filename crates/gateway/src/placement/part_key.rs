//! Keys of prompt parts.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a prompt part's id, its salt (weights and tenant) and its model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartKey(pub u64);

impl PartKey {
    /// Computes the key of the part `id`.
    pub fn new(model: &str, salt: &str, id: &str) -> Self {
        let base = xxh3_64(salt.as_bytes()) ^ xxh3_64(model.as_bytes()).rotate_left(1);
        Self(xxh3_64_with_seed(id.as_bytes(), base))
    }
}

/// Keys of a prompt's parts in order, each with the number of tokens from the start of the prompt
/// to the end of the part. A cached part is useful only if all parts before it are cached too.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptKeys(pub Vec<(PartKey, u32)>);

impl PromptKeys {
    /// The parts that other requests may share, which are all but the last.
    pub fn shared(&self) -> &[(PartKey, u32)] {
        &self.0[..self.0.len().saturating_sub(1)]
    }
}
