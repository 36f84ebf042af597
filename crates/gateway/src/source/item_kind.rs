//! Kinds of items.

use derive_more::Display;

/// Kinds of items that the source holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ItemKind {
    /// The configuration: one item.
    #[display("configuration")]
    Configuration,
    /// Engines and plain back ends, one item each.
    #[display("engines")]
    Engines,
    /// Named weights, one item a model.
    #[display("weights")]
    Weights,
}
