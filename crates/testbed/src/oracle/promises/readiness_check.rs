//! Restart readiness.

use std::collections::BTreeMap;

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// A process that starts is ready in time.
pub struct ReadinessCheck {
    allowed_us: u64,
    starting_since: BTreeMap<String, u64>,
}

impl ReadinessCheck {
    /// Allows `allowed_us` from start to readiness.
    pub fn new(allowed_us: u64) -> Self {
        Self {
            allowed_us,
            starting_since: BTreeMap::new(),
        }
    }
}

fn late(now_us: u64, node: &str, since: u64) -> Violation {
    Violation {
        promise: Promise::RestartReadiness,
        at_us: now_us,
        detail: format!("node={node} started_us={since}"),
    }
}

impl PromiseCheck for ReadinessCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        match observation {
            Observation::NodeStarted { node } => {
                self.starting_since.insert(node.clone(), now_us);
            }
            Observation::NodeReady { node } => {
                let Some(since) = self.starting_since.remove(node) else {
                    return;
                };
                if now_us > since + self.allowed_us {
                    found.push(late(now_us, node, since));
                }
            }
            Observation::NodeGone { node } | Observation::NodeUnreachable { node } => {
                self.starting_since.remove(node);
            }
            _ => {}
        }
    }

    fn check_overdue(&mut self, now_us: u64, found: &mut Vec<Violation>) {
        for (node, since) in &self.starting_since {
            if now_us > since + self.allowed_us {
                found.push(late(now_us, node, *since));
            }
        }
    }
}
