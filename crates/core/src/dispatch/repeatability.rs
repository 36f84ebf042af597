//! Whether a request may run more than once.

use serde::{Deserialize, Serialize};

use crate::identity::IdempotencyKey;

/// Whether a request may run more than once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// Running it twice does no harm.
    #[default]
    Repeatable,
    /// It runs at most once, over all router processes, under this key.
    AtMostOnce(IdempotencyKey),
}
