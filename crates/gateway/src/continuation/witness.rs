//! Engines that show that a record of versions holds.

use ryerouter_core::identity::{BackEndName, Incarnation};
use serde::{Deserialize, Serialize};

/// An engine of a recorded version that was in service when the record was written.
///
/// As long as it is, streams that may be resumed begin at recorded versions. An engine that starts again does so under
/// another name, or as another incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Witness {
    /// Name of the engine.
    pub engine: BackEndName,
    /// Its incarnation, if it reports one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
}
