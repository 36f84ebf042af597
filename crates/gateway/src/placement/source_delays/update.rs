//! What nodes tell each other about the delays of the KV stores.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::DelayEstimate;

/// Limit of a reported delay, in milliseconds.
const MAX_DELAY_MS: i32 = 3_000;
/// Limit of a reported weight.
const MAX_WEIGHT: f32 = 1_000.0;
/// Limit of a reported value on the logarithmic scale.
const MAX_LOGARITHM: f32 = 10.0;
/// Factor to which fractions are rounded.
const STEPS: f64 = 100.0;

/// The delay of one KV store, as measured at one node or at the nodes of one zone: its address, the
/// delay in milliseconds, its weight, and its logarithmic ratio and spread, as in [`DelayEstimate`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SourceDelayUpdate(pub SocketAddr, pub i32, pub f32, pub f32, pub f32);

impl SourceDelayUpdate {
    /// A report counts for this time after its arrival.
    pub const MAX_AGE: Duration = Duration::from_secs(2);

    /// A report of an estimate.
    pub fn new(store: SocketAddr, estimate: DelayEstimate) -> Self {
        Self(
            store,
            estimate.delay_ms.round() as i32,
            rounded(estimate.weight),
            rounded(estimate.log_ratio),
            rounded(estimate.spread),
        )
    }

    /// The reported estimate, within the limits of what can be measured.
    pub fn estimate(&self) -> DelayEstimate {
        DelayEstimate {
            delay_ms: f64::from(self.1.clamp(-MAX_DELAY_MS, MAX_DELAY_MS)),
            weight: f64::from(self.2.clamp(0.0, MAX_WEIGHT)),
            log_ratio: f64::from(self.3.clamp(-MAX_LOGARITHM, MAX_LOGARITHM)),
            spread: f64::from(self.4.clamp(0.0, MAX_LOGARITHM)),
        }
    }
}

fn rounded(value: f64) -> f32 {
    ((value * STEPS).round() / STEPS) as f32
}
