//! What traffic threads see of a back end.

use ryerouter_core::identity::{BackEndName, Incarnation};

/// What an answer or a load report said of a back end; sent to the control thread when it differs
/// from the last one of that back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndObservation {
    /// The back end.
    pub back_end: BackEndName,
    /// Its process.
    pub incarnation: Incarnation,
    /// Whether it leaves.
    pub draining: bool,
}
