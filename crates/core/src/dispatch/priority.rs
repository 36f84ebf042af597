//! Priority of a request.

use serde::{Deserialize, Serialize};

/// How urgent a request is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Overnight work that may wait.
    Batch,
    /// Somebody waits for the first token.
    #[default]
    Interactive,
}
