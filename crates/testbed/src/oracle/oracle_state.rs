//! The oracle.

use super::promises::{
    AtMostOnceCheck, CacheIsolationCheck, ConfigurationCheck, DrainCheck, FencingCheck,
    GracefulStopCheck, LimitCheck, PromiseCheck, ReadinessCheck, RefusalTruthCheck, StreamCheck,
};
use super::{Observation, OracleLimits, Violation};

/// Checks every promise over one run.
pub struct Oracle {
    checks: Vec<Box<dyn PromiseCheck>>,
    violations: Vec<Violation>,
    now_us: u64,
}

impl Oracle {
    /// An oracle that has seen nothing.
    pub fn new(limits: OracleLimits) -> Self {
        let checks: Vec<Box<dyn PromiseCheck>> = vec![
            Box::new(CacheIsolationCheck),
            Box::new(StreamCheck::default()),
            Box::new(ReadinessCheck::new(limits.readiness_us)),
            Box::new(RefusalTruthCheck::default()),
            Box::new(AtMostOnceCheck::default()),
            Box::new(DrainCheck::new(limits.drain_us)),
            Box::new(GracefulStopCheck::default()),
            Box::new(ConfigurationCheck::new(limits.configuration_us)),
            Box::new(LimitCheck::new(limits)),
            Box::new(FencingCheck::default()),
        ];
        Self {
            checks,
            violations: Vec::new(),
            now_us: 0,
        }
    }

    /// Takes the next observation, seen at `now_us` (microseconds, never falling).
    pub fn observe(&mut self, now_us: u64, observation: &Observation) {
        debug_assert!(
            now_us >= self.now_us,
            "observations come in the order of their time"
        );
        self.now_us = now_us;
        for check in &mut self.checks {
            check.observe(now_us, observation, &mut self.violations);
        }
    }

    /// Checks what should have happened by `now_us` and has not; call it at the end of a run and
    /// as often as wanted before.
    pub fn check_overdue(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
        for check in &mut self.checks {
            check.check_overdue(now_us, &mut self.violations);
        }
    }

    /// Broken promises so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }
}
