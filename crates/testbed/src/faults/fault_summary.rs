//! Sums over fault runs.

use serde::Serialize;

use super::RunResult;
use crate::oracle::Promise;

/// Sums over fault runs, as one flat JSON object.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct FaultSummary {
    /// Runs made.
    pub runs: u64,
    /// Broken promises, of any kind.
    pub violations: u64,
    /// Submissions sent.
    pub requests: u64,
    /// Answers that arrived whole.
    pub completed: u64,
    /// Refusals as not run.
    pub refused_not_run: u64,
    /// Refusals that say the request ran or may have run.
    pub refused_ran_or_unknown: u64,
    /// Streams that went on after a break.
    pub resumed: u64,
    /// Changes of configuration accepted.
    pub changes_accepted: u64,
    /// Simulated hours.
    pub simulated_hours: f64,
    /// Faults brought about.
    pub faults_injected: u64,
    /// Requests marked to run at most once that ran twice.
    pub ran_twice: u64,
    /// Streams with gaps, doubled or missing chunks, or another caller's chunks.
    pub streams_broken: u64,
    /// Configurations that reverted, differed or came late.
    pub config_reverts: u64,
    /// Refusals as not run that were untrue.
    pub false_not_run: u64,
    /// Uses of cache entries of a dead engine, another tenant or other weights.
    pub stale_cache_uses: u64,
    /// New work for back ends that leave.
    pub work_after_drain: u64,
    /// Processes not ready in time.
    pub late_restarts: u64,
    /// Requests cut by planned stops.
    pub cut_by_stop: u64,
    /// Limits of tenants exceeded.
    pub limits_exceeded: u64,
    /// Orders obeyed out of the order of their fencing numbers.
    pub stale_orders: u64,
}

impl FaultSummary {
    /// Adds the result of a run.
    pub fn add(&mut self, result: &RunResult) {
        let counters = &result.outcome.counters;
        self.runs += 1;
        self.violations += result.outcome.violations.len() as u64;
        self.requests += counters.requests;
        self.completed += counters.completed;
        self.refused_not_run += counters.refused_not_run;
        self.refused_ran_or_unknown += counters.refused_ran_or_unknown;
        self.resumed += counters.resumed;
        self.changes_accepted += counters.changes_accepted;
        self.faults_injected += counters.faults;
        self.simulated_hours += result.outcome.simulated.as_secs_f64() / 3_600.0;
        for violation in &result.outcome.violations {
            *self.count_of(violation.promise) += 1;
        }
    }

    fn count_of(&mut self, promise: Promise) -> &mut u64 {
        match promise {
            Promise::CacheIsolation => &mut self.stale_cache_uses,
            Promise::StreamIntegrity | Promise::ResponseCorrelation => &mut self.streams_broken,
            Promise::RestartReadiness => &mut self.late_restarts,
            Promise::RefusalTruth => &mut self.false_not_run,
            Promise::AtMostOnce => &mut self.ran_twice,
            Promise::Drain => &mut self.work_after_drain,
            Promise::GracefulStop => &mut self.cut_by_stop,
            Promise::ConfigurationMonotonicity => &mut self.config_reverts,
            Promise::TenantLimits => &mut self.limits_exceeded,
            Promise::Fencing => &mut self.stale_orders,
        }
    }
}
