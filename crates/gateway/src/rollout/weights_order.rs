//! An order to load weights.

use ryerouter_core::identity::BackEndName;

/// An order to an engine to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// The engine.
    pub engine: BackEndName,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// Orders that the engine must have taken before: two orders never both run.
    pub expected_orders: u64,
    /// Whether it need not be given yet, but requests begin on replaced weights meanwhile.
    pub is_early: bool,
}
