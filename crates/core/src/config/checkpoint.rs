//! The whole configuration with what settles repeated changes.

use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;

use super::RecentChange;

/// The whole configuration at one version, with the latest changes that led to it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The configuration.
    pub catalog: Catalog,
    /// Latest changes, oldest first, so that a repeated change id is recognised.
    #[serde(default)]
    pub recent: Vec<RecentChange>,
}
