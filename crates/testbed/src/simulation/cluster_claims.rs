//! Claims of requests that run at most once, in the simulation.

use super::{Cluster, ProcessId};

impl Cluster {
    /// Claims the key of a submission before it is dispatched.
    pub(super) fn claim(&mut self, process: ProcessId, submission: u64, _key: &str) {
        self.dispatch_submission(process, submission);
    }
}
