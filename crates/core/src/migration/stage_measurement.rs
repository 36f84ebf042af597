//! What a process measured of a stage.

use serde::{Deserialize, Serialize};

use crate::identity::{ResourceVersion, StageName};

use super::SideMeasurement;

/// What one process measured of a stage since its last measurement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageMeasurement {
    /// The stage.
    #[serde(rename = "g")]
    pub stage: StageName,
    /// Version of the stage's progress while it was measured; of another step it does not count.
    #[serde(rename = "v")]
    pub progress: ResourceVersion,
    /// At the data centre that gives up traffic.
    #[serde(rename = "s")]
    pub source: SideMeasurement,
    /// At the data centre that takes traffic.
    #[serde(rename = "t")]
    pub target: SideMeasurement,
}
