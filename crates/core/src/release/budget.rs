//! The budget of one node.

use super::Settings;

/// What one node has sent to a pool since it heard of a release, and how much of that to the target
/// version.
///
/// The bound holds over all nodes and for the whole release. It is a share of the requests, so it holds
/// for the sum when each node keeps to it by itself, and no message has to arrive for that.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Budget {
    all: u64,
    target: u64,
}

impl Budget {
    /// A request goes to an engine of the pool for the first time.
    pub fn count(&mut self) {
        self.all += 1;
    }

    /// A request goes to the target version, for the first time or again.
    pub fn count_target(&mut self) {
        self.target += 1;
    }

    /// Whether one more may go to the target version, where there are so many nodes.
    pub fn allows_request(&self, settings: &Settings, nodes: usize) -> bool {
        let slack = settings.used_slack() / nodes.max(1) as f64;
        let allowed = self.all as f64 * settings.used_share() + slack;
        (self.target + 1) as f64 <= allowed
    }

    /// Requests that went to the pool.
    pub fn all(&self) -> u64 {
        self.all
    }

    /// Those of them that went to the target version.
    pub fn target(&self) -> u64 {
        self.target
    }
}
