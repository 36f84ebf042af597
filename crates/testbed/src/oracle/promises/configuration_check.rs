//! Configuration monotonicity.

use std::collections::{BTreeMap, HashMap};

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// Versions only rise at each process, and reach every reachable process in time.
pub struct ConfigurationCheck {
    allowed_us: u64,
    accepted_at: BTreeMap<u64, u64>,
    in_force: HashMap<String, u64>,
    digests: BTreeMap<u64, u64>,
    reachable_since: BTreeMap<String, u64>,
}

impl ConfigurationCheck {
    /// Allows `allowed_us` from acceptance to being in force.
    pub fn new(allowed_us: u64) -> Self {
        Self {
            allowed_us,
            accepted_at: BTreeMap::new(),
            in_force: HashMap::new(),
            digests: BTreeMap::new(),
            reachable_since: BTreeMap::new(),
        }
    }

    fn take_version(&mut self, now_us: u64, node: &str, version: u64, found: &mut Vec<Violation>) {
        let newest = self.in_force.entry(node.to_owned()).or_insert(version);
        if version < *newest {
            found.push(Violation {
                promise: Promise::ConfigurationMonotonicity,
                at_us: now_us,
                detail: format!("node={node} version={version} after={newest}"),
            });
        }
        *newest = (*newest).max(version);
    }

    /// One version means one configuration, or an accepted change was overwritten.
    fn take_digest(&mut self, now_us: u64, version: u64, digest: u64, found: &mut Vec<Violation>) {
        let first = *self.digests.entry(version).or_insert(digest);
        if first != digest {
            found.push(Violation {
                promise: Promise::ConfigurationMonotonicity,
                at_us: now_us,
                detail: format!("version={version} digest={digest:x} elsewhere={first:x}"),
            });
        }
    }

    /// The newest version that a process reachable since `since` must have by `now_us`.
    fn due_version(&self, since: u64, now_us: u64) -> Option<u64> {
        if now_us < since + self.allowed_us {
            return None;
        }
        self.accepted_at
            .iter()
            .filter(|(_, accepted)| **accepted + self.allowed_us <= now_us)
            .map(|(version, _)| *version)
            .max()
    }
}

impl PromiseCheck for ConfigurationCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        match observation {
            Observation::ChangeAccepted { version } => {
                self.accepted_at.entry(*version).or_insert(now_us);
            }
            Observation::VersionInForce {
                node,
                version,
                digest,
            } => {
                self.take_version(now_us, node, *version, found);
                self.take_digest(now_us, *version, *digest, found);
            }
            Observation::NodeReady { node } | Observation::NodeReachable { node } => {
                self.reachable_since.insert(node.clone(), now_us);
            }
            Observation::NodeUnreachable { node } => {
                self.reachable_since.remove(node);
            }
            Observation::NodeGone { node } => {
                // A process that starts anew has nothing in force until it says so.
                self.reachable_since.remove(node);
                self.in_force.remove(node);
            }
            _ => {}
        }
    }

    fn check_overdue(&mut self, now_us: u64, found: &mut Vec<Violation>) {
        for (node, since) in &self.reachable_since {
            let Some(due) = self.due_version(*since, now_us) else {
                continue;
            };
            let has = self.in_force.get(node).copied().unwrap_or_default();
            if has < due {
                found.push(Violation {
                    promise: Promise::ConfigurationMonotonicity,
                    at_us: now_us,
                    detail: format!("node={node} version={has} overdue={due}"),
                });
            }
        }
    }
}
