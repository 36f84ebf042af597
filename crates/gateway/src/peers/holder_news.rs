//! News of a cached prefix.

use ryerouter_core::identity::BackEndName;
use serde::{Deserialize, Serialize};

use crate::placement::PartKey;

/// An engine has read a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderUpdate(pub PartKey, pub BackEndName);
