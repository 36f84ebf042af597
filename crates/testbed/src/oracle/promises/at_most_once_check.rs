//! At most once.

use std::collections::HashMap;

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// Counts executions under each key of requests that are not to be repeated.
#[derive(Default)]
pub struct AtMostOnceCheck {
    key_of_submission: HashMap<u64, String>,
    executions: HashMap<String, u32>,
}

impl PromiseCheck for AtMostOnceCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        match observation {
            Observation::Submitted {
                submission,
                at_most_once_key: Some(key),
                ..
            } => {
                self.key_of_submission.insert(*submission, key.clone());
            }
            Observation::ExecutionStarted {
                submission,
                back_end,
                ..
            } => {
                let Some(key) = self.key_of_submission.get(submission) else {
                    return;
                };
                let executions = self.executions.entry(key.clone()).or_default();
                *executions += 1;
                if *executions > 1 {
                    found.push(Violation {
                        promise: Promise::AtMostOnce,
                        at_us: now_us,
                        detail: format!(
                            "key={key} submission={submission} back_end={back_end} \
                             executions={executions}"
                        ),
                    });
                }
            }
            _ => {}
        }
    }
}
