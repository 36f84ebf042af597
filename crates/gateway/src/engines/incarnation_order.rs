//! Comparison of incarnations of an engine.

use ryerouter_core::identity::Incarnation;

/// Relation of a reported incarnation of an engine to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// They are the same, or at least one of them is unknown.
    Same,
    /// The engine has restarted since the known incarnation.
    Newer,
    /// The report is about an incarnation before the known one.
    Older,
}

impl IncarnationOrder {
    /// Compares a reported incarnation with the known one.
    ///
    /// A list entry forwarded by another node may lack the incarnation, so an unknown one proves
    /// nothing.
    pub fn new(known: Option<Incarnation>, reported: Option<Incarnation>) -> Self {
        match (known, reported) {
            (Some(known), Some(reported)) if reported > known => Self::Newer,
            (Some(known), Some(reported)) if reported < known => Self::Older,
            _ => Self::Same,
        }
    }
}
