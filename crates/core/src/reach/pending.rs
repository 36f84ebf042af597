//! A failed attempt of this node that is not evidence yet.

use super::EngineView;
use crate::timestamp::Timestamp;

/// A failed attempt of this node. It becomes evidence once another engine answers, which shows that
/// the node itself is not cut off.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) engine: EngineView,
    pub(super) began_at: Timestamp,
    pub(super) failed_at: Timestamp,
}
