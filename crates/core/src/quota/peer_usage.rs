//! What a tenant uses at other nodes.

use super::Usage;

/// What a tenant uses at other nodes, summed up as far as it is known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerUsage {
    /// Asked for a second.
    pub asked: f64,
    /// Admitted a second at the nodes that were heard lately.
    pub admitted: f64,
    /// Asked for a second at the nodes that were not: what they admit must be guessed.
    pub stale: f64,
}

impl PeerUsage {
    /// Adds the usage at nodes that told it just now.
    pub fn add_recent(&mut self, usage: Usage) {
        self.asked += f64::from(usage.asked);
        self.admitted += f64::from(usage.admitted);
    }

    /// Adds the usage at nodes that told it a while ago.
    pub fn add_stale(&mut self, usage: Usage) {
        self.asked += f64::from(usage.asked);
        self.stale += f64::from(usage.asked);
    }
}
