//! Messages about measurements of stages.

use serde::{Deserialize, Serialize};

use crate::identity::StageName;

use super::StageMeasurement;

/// A message between the migration director and the processes that measure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageMessage {
    /// From the director: what was measured since the last time?
    #[serde(rename = "c")]
    Collect(StageName),
    /// To the director: this.
    #[serde(rename = "m")]
    Measured(StageMeasurement),
}
