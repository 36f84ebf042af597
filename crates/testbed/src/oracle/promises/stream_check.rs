//! Stream integrity and response correlation.

use std::collections::{HashMap, HashSet};

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// Chunks come in order without gaps, answer the caller's own submission, and a submission ends
/// once.
#[derive(Default)]
pub struct StreamCheck {
    next_index: HashMap<u64, u64>,
    ended: HashSet<u64>,
}

impl StreamCheck {
    fn report(now_us: u64, promise: Promise, detail: String, found: &mut Vec<Violation>) {
        found.push(Violation {
            promise,
            at_us: now_us,
            detail,
        });
    }

    fn end(&mut self, now_us: u64, submission: u64, found: &mut Vec<Violation>) {
        if !self.ended.insert(submission) {
            let detail = format!("submission={submission} ended=twice");
            Self::report(now_us, Promise::ResponseCorrelation, detail, found);
        }
    }
}

impl PromiseCheck for StreamCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        match observation {
            Observation::ChunkDelivered {
                submission,
                index,
                answers,
            } => {
                if submission != answers {
                    let detail = format!("submission={submission} got_answer_to={answers}");
                    Self::report(now_us, Promise::ResponseCorrelation, detail, found);
                }
                let next = self.next_index.entry(*submission).or_default();
                if index != next || self.ended.contains(submission) {
                    let detail = format!("submission={submission} index={index} expected={next}");
                    Self::report(now_us, Promise::StreamIntegrity, detail, found);
                }
                *next = index + 1;
            }
            Observation::Completed {
                submission,
                expected_chunks,
            } => {
                let delivered = self.next_index.get(submission).copied().unwrap_or_default();
                if delivered != *expected_chunks {
                    let detail = format!(
                        "submission={submission} delivered={delivered} expected={expected_chunks}"
                    );
                    Self::report(now_us, Promise::StreamIntegrity, detail, found);
                }
                self.end(now_us, *submission, found);
            }
            Observation::Refused { submission, .. } => self.end(now_us, *submission, found),
            _ => {}
        }
    }
}
