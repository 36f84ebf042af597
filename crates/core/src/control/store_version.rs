//! Version of one object.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Version of one object; rises with each write of its key.
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
pub struct StoreVersion(pub u64);
