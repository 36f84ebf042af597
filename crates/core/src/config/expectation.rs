//! What an operator expects of a resource.

use serde::{Deserialize, Serialize};

use crate::identity::ResourceVersion;

/// What an operator expects of a resource before a mutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// Anything, also that it does not exist.
    #[default]
    Any,
    /// It does not exist.
    Absent,
    /// It exists at this version.
    Version(ResourceVersion),
}
