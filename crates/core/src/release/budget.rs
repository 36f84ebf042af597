//! Bound on the requests that one node sends to the target version.

use super::Settings;

/// Requests that one node has sent to a pool since it learned of a release, and how many of them
/// went to the target version.
///
/// The bound applies to all nodes together and to the whole release. It is mainly a share of the
/// requests, so it holds for the sum if each node keeps to its own share. No message between nodes
/// is needed for that.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Budget {
    all: u64,
    target: u64,
}

impl Budget {
    /// Records that a request is sent to an engine of the pool for the first time.
    pub fn count(&mut self) {
        self.all += 1;
    }

    /// Records that a request is sent to the target version, for the first time or as a retry.
    pub fn count_target(&mut self) {
        self.target += 1;
    }

    /// Whether one more request may be sent to the target version. `nodes` is the number of nodes
    /// that share the slack.
    pub fn allows_request(&self, settings: &Settings, nodes: usize) -> bool {
        let slack = settings.used_slack() / nodes.max(1) as f64;
        let allowed = self.all as f64 * settings.used_share() + slack;
        (self.target + 1) as f64 <= allowed
    }

    /// Number of requests sent to the pool.
    pub fn all(&self) -> u64 {
        self.all
    }

    /// Number of attempts sent to the target version.
    pub fn target(&self) -> u64 {
        self.target
    }
}
