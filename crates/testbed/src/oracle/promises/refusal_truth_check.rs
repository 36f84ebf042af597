//! Refusal truth.

use std::collections::{HashMap, HashSet};

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, ReportedRunState, Violation};

/// What is refused as "not run" neither ran before, under any submission of its key, nor does the
/// refused submission run later.
#[derive(Default)]
pub struct RefusalTruthCheck {
    key_of_submission: HashMap<u64, String>,
    executed_submissions: HashSet<u64>,
    executed_keys: HashSet<String>,
    refused_as_not_run: HashSet<u64>,
}

impl RefusalTruthCheck {
    fn has_run(&self, submission: u64) -> bool {
        let key = self.key_of_submission.get(&submission);
        self.executed_submissions.contains(&submission)
            || key.is_some_and(|key| self.executed_keys.contains(key))
    }

    fn take_execution(&mut self, submission: u64) {
        self.executed_submissions.insert(submission);
        if let Some(key) = self.key_of_submission.get(&submission) {
            self.executed_keys.insert(key.clone());
        }
    }
}

fn untrue(now_us: u64, submission: u64, seen: &str) -> Violation {
    Violation {
        promise: Promise::RefusalTruth,
        at_us: now_us,
        detail: format!("submission={submission} seen={seen}"),
    }
}

impl PromiseCheck for RefusalTruthCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        match observation {
            Observation::Submitted {
                submission,
                at_most_once_key: Some(key),
                ..
            } => {
                self.key_of_submission.insert(*submission, key.clone());
            }
            Observation::ExecutionStarted { submission, .. } => {
                self.take_execution(*submission);
                if self.refused_as_not_run.contains(submission) {
                    found.push(untrue(now_us, *submission, "ran_after_refusal"));
                }
            }
            Observation::Refused {
                submission,
                run_state: ReportedRunState::NotRun,
                ..
            } => {
                self.refused_as_not_run.insert(*submission);
                if self.has_run(*submission) {
                    found.push(untrue(now_us, *submission, "ran_before_refusal"));
                }
            }
            _ => {}
        }
    }
}
