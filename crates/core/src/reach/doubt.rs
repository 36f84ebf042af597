//! The evidence on which an engine is doubted.

use crate::timestamp::Timestamp;

/// The evidence on which an engine is doubted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Doubt {
    /// Number of nodes that could not reach the engine.
    pub reporters: usize,
    /// Number of zones that these nodes run in.
    pub zones: usize,
    /// When the newest failed attempt began.
    pub newest: Timestamp,
}
