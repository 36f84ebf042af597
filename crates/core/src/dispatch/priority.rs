//! Priority of a request.

use serde::{Deserialize, Serialize};

/// Priority of a request, in ascending order.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Background work that may wait, such as overnight jobs.
    Batch,
    /// A user waits for the first token.
    #[default]
    Interactive,
}
