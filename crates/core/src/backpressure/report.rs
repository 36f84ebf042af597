//! What a node tells others of an engine.

use crate::Timestamp;

/// What a node has seen itself of an engine and tells others.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// The engine leaves.
    pub is_leaving: bool,
    /// The limit that it named, or that it names none any more.
    pub limit: Option<f64>,
    /// When that was; `None` when the node has seen nothing of a limit.
    pub limit_at: Option<Timestamp>,
}
