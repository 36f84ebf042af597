//! Whether a request may run more than once.

use serde::{Deserialize, Serialize};

use crate::identity::IdempotencyKey;

/// Whether a request may run more than once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// Running the request more than once is harmless.
    #[default]
    Repeatable,
    /// At most one request with this key runs, over all router processes.
    AtMostOnce(IdempotencyKey),
}
