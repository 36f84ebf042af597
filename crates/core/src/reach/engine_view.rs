//! What a node knows of an engine apart from other nodes' observations.

use crate::identity::Incarnation;
use crate::timestamp::Timestamp;

/// What a node knows of an engine apart from other nodes' observations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineView {
    /// The incarnation in its list entry.
    pub incarnation: Option<Incarnation>,
    /// When this node last received a part of an answer from it.
    pub heard_at: Option<Timestamp>,
}
