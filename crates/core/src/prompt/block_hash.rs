//! Hash of a prefix.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Hash of everything from the start of the prompt to the end of one block, salted with tenant,
/// model, weights version and adapter. Equal hashes identify the same cacheable prefix.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct BlockHash(pub u64);
