//! Something that fails.

use serde::{Deserialize, Serialize};

/// Something that fails at a stated time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultSpec {
    /// An engine dies, refuses connections for a while and comes back empty.
    EngineCrash {
        /// When, from the start of the run.
        at_seconds: f64,
        /// Number of the engine, from 0.
        engine: u32,
        /// How long it is gone.
        down_millis: u64,
    },
    /// All engines of a zone die at once and come back empty.
    ZoneCrash {
        /// When, from the start of the run.
        at_seconds: f64,
        /// The zone.
        zone: String,
        /// How long they are gone.
        down_millis: u64,
    },
}

impl FaultSpec {
    /// When it happens, in seconds from the start of the run.
    pub fn at_seconds(&self) -> f64 {
        match self {
            Self::EngineCrash { at_seconds, .. } | Self::ZoneCrash { at_seconds, .. } => {
                *at_seconds
            }
        }
    }
}
