//! Drain.

use std::collections::HashMap;

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// A leaving back end gets no new work after the allowed time.
pub struct DrainCheck {
    allowed_us: u64,
    leaving_since: HashMap<String, u64>,
}

impl DrainCheck {
    /// Allows `allowed_us` from the start of leaving to the last new work.
    pub fn new(allowed_us: u64) -> Self {
        Self {
            allowed_us,
            leaving_since: HashMap::new(),
        }
    }
}

impl PromiseCheck for DrainCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        match observation {
            Observation::LeavingStarted { back_end } => {
                self.leaving_since.entry(back_end.clone()).or_insert(now_us);
            }
            Observation::LeavingEnded { back_end } => {
                self.leaving_since.remove(back_end);
            }
            Observation::WorkAccepted { back_end } => {
                let Some(since) = self.leaving_since.get(back_end) else {
                    return;
                };
                if now_us > since + self.allowed_us {
                    found.push(Violation {
                        promise: Promise::Drain,
                        at_us: now_us,
                        detail: format!("back_end={back_end} leaving_since_us={since}"),
                    });
                }
            }
            _ => {}
        }
    }
}
