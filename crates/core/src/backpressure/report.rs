//! What a node reports to other nodes about an engine's backpressure.

use crate::Timestamp;

/// Backpressure of an engine that this node has observed itself and reports to other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Whether the engine is leaving.
    pub is_leaving: bool,
    /// Rate limit that the engine advertised, in requests per second; `None` when it no longer advertises one.
    pub limit: Option<f64>,
    /// When the limit was advertised or ended; `None` when this node has observed neither.
    pub limit_at: Option<Timestamp>,
    /// Refusals in a second that the engine withstands; `None` when it no longer says so.
    pub max_refusals: Option<u32>,
    /// When that was seen or ended; `None` when this node has observed neither.
    pub max_refusals_at: Option<Timestamp>,
    /// When the engine began to say so, as far as this node knows.
    pub fragile_since: Option<Timestamp>,
}
