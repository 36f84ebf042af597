//! Graceful stop.

use std::collections::HashSet;

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// A planned stop may refuse what has not begun to run, and cuts nothing that has.
#[derive(Default)]
pub struct GracefulStopCheck {
    executed: HashSet<u64>,
}

impl PromiseCheck for GracefulStopCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        match observation {
            Observation::ExecutionStarted { submission, .. } => {
                self.executed.insert(*submission);
            }
            Observation::Refused {
                submission,
                by_planned_stop: true,
                ..
            } if self.executed.contains(submission) => found.push(Violation {
                promise: Promise::GracefulStop,
                at_us: now_us,
                detail: format!("submission={submission}"),
            }),
            _ => {}
        }
    }
}
