//! Drain.

use std::collections::{HashMap, HashSet};

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// A leaving back end gets no new work after the allowed time, counted for each router process from
/// when it could learn of the leaving.
pub struct DrainCheck {
    allowed_us: u64,
    leaving_since: HashMap<String, u64>,
    unreachable: HashSet<String>,
    reachable_since: HashMap<String, u64>,
}

impl DrainCheck {
    /// Allows `allowed_us` from the start of leaving to the last new work.
    pub fn new(allowed_us: u64) -> Self {
        Self {
            allowed_us,
            leaving_since: HashMap::new(),
            unreachable: HashSet::new(),
            reachable_since: HashMap::new(),
        }
    }

    fn take_offer(&self, now_us: u64, node: &str, back_end: &str, found: &mut Vec<Violation>) {
        let Some(leaving_since) = self.leaving_since.get(back_end) else {
            return;
        };
        let reachable_since = self.reachable_since.get(node).copied().unwrap_or_default();
        let could_know_since = (*leaving_since).max(reachable_since);
        if !self.unreachable.contains(node) && now_us > could_know_since + self.allowed_us {
            found.push(Violation {
                promise: Promise::Drain,
                at_us: now_us,
                detail: format!("node={node} back_end={back_end} leaving_since_us={leaving_since}"),
            });
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
            Observation::NodeUnreachable { node } => {
                self.unreachable.insert(node.clone());
            }
            Observation::NodeReachable { node } | Observation::NodeReady { node } => {
                self.unreachable.remove(node);
                self.reachable_since.insert(node.clone(), now_us);
            }
            Observation::WorkOffered { node, back_end } => {
                self.take_offer(now_us, node, back_end, found);
            }
            _ => {}
        }
    }
}
