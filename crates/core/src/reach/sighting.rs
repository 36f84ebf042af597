//! An observation of one engine by one node.

use crate::identity::{BackEndName, Incarnation};
use crate::timestamp::Timestamp;

/// An observation of one engine by one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sighting {
    /// The engine.
    pub engine: BackEndName,
    /// Its incarnation, as the node knew it.
    pub incarnation: Option<Incarnation>,
    /// When it was observed. For an engine that could not be reached, when the attempt began.
    pub at: Timestamp,
}
