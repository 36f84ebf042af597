//! Load as it is reported: late.

use std::collections::VecDeque;
use std::time::Duration;

use ryerouter_core::Timestamp;
use serde::Serialize;

use crate::engine_model::EngineStatus;

/// A load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    sequence: u64,
    incarnation: u64,
    weights_version: u64,
    running: u32,
    waiting: u32,
    queued_interactive_tokens: u32,
    queued_batch_tokens: u32,
    state: &'static str,
}

/// Load as it is reported: late.
#[derive(Debug)]
pub struct LoadHistory {
    lag: Duration,
    sequence: u64,
    /// Reports with the time of each, oldest first; never empty.
    reports: VecDeque<(Timestamp, LoadReport)>,
}

impl LoadHistory {
    /// A history that starts with `status`.
    pub fn new(lag: Duration, status: EngineStatus, now: Timestamp) -> Self {
        Self {
            lag,
            sequence: 1,
            reports: VecDeque::from([(now, report(1, status))]),
        }
    }

    /// Notes the status, if it changed.
    pub fn note(&mut self, status: EngineStatus, now: Timestamp) {
        let newest = self.reports.back().expect("never empty").1;
        if report(newest.sequence, status) == newest {
            return;
        }
        self.sequence += 1;
        self.reports.push_back((now, report(self.sequence, status)));
        self.forget(now);
    }

    /// What is told now.
    pub fn told(&mut self, now: Timestamp) -> LoadReport {
        self.forget(now);
        self.reports.front().expect("never empty").1
    }

    fn forget(&mut self, now: Timestamp) {
        let known_since = now.before(self.lag);
        while self
            .reports
            .get(1)
            .is_some_and(|(since, _)| *since <= known_since)
        {
            self.reports.pop_front();
        }
    }
}

/// Name of an engine's state in headers and reports.
pub fn state_name(status: &EngineStatus) -> &'static str {
    if status.draining {
        "draining"
    } else {
        "active"
    }
}

fn report(sequence: u64, status: EngineStatus) -> LoadReport {
    LoadReport {
        sequence,
        incarnation: status.incarnation.0,
        weights_version: status.weights_version.0,
        running: status.running,
        waiting: status.waiting,
        queued_interactive_tokens: status.queued_tokens.interactive,
        queued_batch_tokens: status.queued_tokens.batch,
        state: state_name(&status),
    }
}
