//! Delays between places.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Delays, one way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSpec {
    /// Within a zone.
    pub within_zone_micros: u64,
    /// Between two zones.
    pub between_zones_micros: u64,
    /// Between a client and the router process in front of it.
    pub client_micros: u64,
    /// Random part added to each delay, at most this share in thousandths.
    pub jitter_permille: u32,
}

impl NetworkSpec {
    /// Delay between two zones, or within one, without its random part.
    pub fn one_way(&self, same_zone: bool) -> Duration {
        let micros = if same_zone {
            self.within_zone_micros
        } else {
            self.between_zones_micros
        };
        Duration::from_micros(micros)
    }
}
