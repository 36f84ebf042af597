//! Kinds of items.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kinds of items that the source holds.
/// Between nodes their first letters stand for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum ItemKind {
    /// The configuration: one item.
    #[display("configuration")]
    #[serde(rename = "c")]
    Configuration,
    /// Engines and plain back ends, one item each.
    #[display("engines")]
    #[serde(rename = "e")]
    Engines,
    /// Named weights, one item a model.
    #[display("weights")]
    #[serde(rename = "w")]
    Weights,
}
