//! What a tenant uses at other nodes.

use super::Usage;

/// What a tenant uses at all other nodes together, as far as it is known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerUsage {
    /// Amount per second that was asked for at all of these nodes.
    pub asked: f64,
    /// Amount per second that was admitted at nodes with a recent report.
    pub admitted: f64,
    /// Amount per second that was asked for at nodes without a recent report. What they admit must
    /// be estimated.
    pub stale: f64,
    /// Running sum of what the other nodes admitted beyond the rates above, by their totals.
    pub correction: f64,
}

impl PeerUsage {
    /// Adds the usage at nodes with a recent report.
    pub fn add_recent(&mut self, usage: Usage) {
        self.asked += f64::from(usage.asked);
        self.admitted += f64::from(usage.admitted);
    }

    /// Adds what is presumed to be asked for at nodes without a recent report.
    pub fn add_presumed(&mut self, asked: f64) {
        self.asked += asked;
        self.stale += asked;
    }

    /// Adds the usage at nodes without a recent report.
    pub fn add_stale(&mut self, usage: Usage) {
        self.asked += f64::from(usage.asked);
        self.stale += f64::from(usage.asked);
    }
}
