//! Graceful stop.

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, ReportedRunState, Violation};

/// A planned stop may refuse what has not run, and cuts nothing that has.
pub struct GracefulStopCheck;

impl PromiseCheck for GracefulStopCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        let Observation::Refused {
            submission,
            run_state,
            by_planned_stop: true,
        } = observation
        else {
            return;
        };
        if *run_state != ReportedRunState::NotRun {
            found.push(Violation {
                promise: Promise::GracefulStop,
                at_us: now_us,
                detail: format!("submission={submission} run_state={run_state:?}"),
            });
        }
    }
}
