//! Revision of the whole store.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Revision of the whole store; rises with each write.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);
