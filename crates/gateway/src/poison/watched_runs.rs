//! Runs that show that a request does not crash engines, however they end.

use std::collections::VecDeque;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::poison::Digest;

/// Maximum number of watched runs. Only runs with something that engines have crashed under are watched.
const MAX_WATCHED: usize = 512;
/// How long an engine may go unheard after the time at which its run would have crashed it.
const MAX_UNHEARD: Duration = Duration::from_secs(3);

/// A run whose engine is watched for a while after the first event.
#[derive(Debug, Clone)]
pub struct WatchedRun {
    /// The engine.
    pub engine: BackEndName,
    /// Its incarnation at the time of the run.
    pub incarnation: Option<Incarnation>,
    /// When the first event came.
    pub begun_at: Timestamp,
    /// Time after which the engine has outlived the run's beginning.
    pub outlives_after: Duration,
    /// The request and the parts of its prompt.
    pub suspects: Vec<Digest>,
}

impl WatchedRun {
    /// When the engine has outlived the run's beginning.
    pub fn due_at(&self) -> Timestamp {
        self.begun_at.after(self.outlives_after)
    }

    fn is_over(&self, now: Timestamp) -> bool {
        now >= self.due_at().after(MAX_UNHEARD)
    }
}

/// What became of a watched run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// The engine has outlived it.
    Outlived,
    /// The engine has crashed.
    Crashed,
    /// Nothing has been heard of the engine yet.
    Unheard,
}

/// Runs that are watched, in order of their beginnings.
#[derive(Debug, Default)]
pub struct WatchedRuns(VecDeque<WatchedRun>);

impl WatchedRuns {
    /// Watches a run, unless there are too many.
    pub fn add(&mut self, run: WatchedRun) {
        if self.0.len() < MAX_WATCHED {
            self.0.push_back(run);
        }
    }

    /// Whether no run is watched.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes the runs whose engines have outlived them; drops those whose engines have crashed or were not heard.
    pub fn take_outlived(
        &mut self,
        now: Timestamp,
        watch: impl Fn(&WatchedRun) -> Watch,
    ) -> Vec<WatchedRun> {
        let mut outlived = Vec::new();
        self.0.retain(|run| {
            if now < run.due_at() {
                return true;
            }
            let seen = watch(run);
            if seen == Watch::Outlived {
                outlived.push(run.clone());
            }
            seen == Watch::Unheard && !run.is_over(now)
        });
        outlived
    }
}
