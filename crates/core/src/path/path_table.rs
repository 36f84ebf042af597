//! What a node knows of its paths to engines.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{ConnectPlan, PathChange};
use crate::identity::BackEndName;
use crate::timestamp::Timestamp;

/// Opening a connection within a region takes a few milliseconds.
const TUNNEL_DELAY: Duration = Duration::from_millis(100);
/// Interval between probes of the direct path to an engine.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval between probes. It doubles each time that paths are blocked again soon after a probe came through.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Paths that are blocked again within this time have not been restored.
const RELAPSE_TIME: Duration = Duration::from_secs(2);
/// The direct path is avoided for this time after a new connection broke before the engine sent anything.
const SUSPECT_TIME: Duration = Duration::from_millis(500);
/// An engine that was reached directly within this time speaks against a cut of all links.
const REACHED_TIME: Duration = Duration::from_secs(1);
/// Maximum number of engines for which observations are kept.
const MAX_ENGINES: usize = 1_024;
/// Maximum number of changes that wait to be logged.
const MAX_CHANGES: usize = 64;

/// Without a probe that confirms it, an engine counts as out of reach of all for this time.
const OUT_OF_REACH_TIME: Duration = Duration::from_secs(2);

/// An engine that was reached neither directly nor through other nodes.
#[derive(Debug, Clone, Copy)]
struct OutOfReach {
    until: Timestamp,
    probe_at: Timestamp,
}

/// The blocked path to an engine.
#[derive(Debug, Clone, Copy)]
struct Blocked {
    since: Timestamp,
    probe_at: Timestamp,
}

/// What a node knows of its paths to engines.
#[derive(Debug)]
pub struct PathTable {
    /// Engines that are reached through other nodes, but not directly.
    blocked: BTreeMap<BackEndName, Blocked>,
    /// Engines that were reached neither directly nor through other nodes.
    out_of_reach: BTreeMap<BackEndName, OutOfReach>,
    /// When engines were last reached directly, while any path is blocked.
    reached: BTreeMap<BackEndName, Timestamp>,
    /// When new connections to engines last broke before the engine sent anything.
    broken: BTreeMap<BackEndName, Timestamp>,
    probe_interval: Duration,
    restored_at: Option<Timestamp>,
    changes: VecDeque<PathChange>,
}

impl Default for PathTable {
    fn default() -> Self {
        Self {
            blocked: BTreeMap::new(),
            out_of_reach: BTreeMap::new(),
            reached: BTreeMap::new(),
            broken: BTreeMap::new(),
            probe_interval: PROBE_INTERVAL,
            restored_at: None,
            changes: VecDeque::new(),
        }
    }
}

impl PathTable {
    /// How a connection to an engine is opened now.
    pub fn plan(&self, engine: &BackEndName, now: Timestamp) -> ConnectPlan {
        if self.is_out_of_reach(engine, now) {
            return ConnectPlan::OutOfReach;
        }
        if self.blocked.contains_key(engine) || self.is_suspect(engine, now) {
            return ConnectPlan::Tunnel;
        }
        let tunnel_after = match self.is_cut_off(now) {
            true => Duration::ZERO,
            false => TUNNEL_DELAY,
        };
        ConnectPlan::Direct { tunnel_after }
    }

    /// Whether an engine was reached neither directly nor through other nodes just now.
    pub fn is_out_of_reach(&self, engine: &BackEndName, now: Timestamp) -> bool {
        let known = self.out_of_reach.get(engine);
        known.is_some_and(|known| now < known.until)
    }

    /// Records that an engine responded neither to this node nor to the others that it asked.
    pub fn note_out_of_reach(&mut self, engine: &BackEndName, now: Timestamp) {
        self.out_of_reach.retain(|_, known| now < known.until);
        if self.out_of_reach.len() < MAX_ENGINES {
            let known = OutOfReach {
                until: now.after(OUT_OF_REACH_TIME),
                probe_at: now.after(PROBE_INTERVAL),
            };
            self.out_of_reach.insert(engine.clone(), known);
        }
    }

    /// Whether a new direct connection to an engine broke just now. The engine may have crashed, which a tunnel shows.
    fn is_suspect(&self, engine: &BackEndName, now: Timestamp) -> bool {
        let broken_at = self.broken.get(engine);
        broken_at.is_some_and(|at| now.since(*at) < SUSPECT_TIME)
    }

    /// Records that a new direct connection to an engine broke before the engine sent anything.
    pub fn note_broken(&mut self, engine: &BackEndName, now: Timestamp) {
        self.broken.retain(|_, at| now.since(*at) < SUSPECT_TIME);
        if self.broken.len() < MAX_ENGINES {
            self.broken.insert(engine.clone(), now);
        }
    }

    /// Whether the direct path to an engine is known to be blocked.
    pub fn is_blocked(&self, engine: &BackEndName) -> bool {
        self.blocked.contains_key(engine)
    }

    /// Whether this node has lost its links to most of the engines that it has lately sent requests to.
    pub fn is_cut_off(&self, now: Timestamp) -> bool {
        let reached = self.reached.values();
        let lately = reached.filter(|at| now.since(**at) < REACHED_TIME);
        self.blocked.len() > lately.count()
    }

    /// Records that a direct connection to an engine came up. That does not open a blocked path: what resets connections lets
    /// some of them come up first.
    pub fn note_connected(&mut self, engine: &BackEndName, now: Timestamp) {
        self.out_of_reach.remove(engine);
        self.note_answered(engine, now);
    }

    /// Records that a probe of an engine came through. Then each blocked path is tried directly again.
    pub fn note_probed(&mut self, engine: &BackEndName, now: Timestamp) {
        self.out_of_reach.remove(engine);
        let Some(path) = self.blocked.get(engine).copied() else {
            return;
        };
        self.note_change(PathChange::Restored {
            engine: engine.clone(),
            after: now.since(path.since),
            blocked: self.blocked.len(),
        });
        self.blocked.clear();
        self.reached.clear();
        self.broken.clear();
        self.restored_at = Some(now);
    }

    /// Records that an engine answered on a direct connection that was open already.
    pub fn note_answered(&mut self, engine: &BackEndName, now: Timestamp) {
        if !self.blocked.is_empty() && !self.blocked.contains_key(engine) {
            self.reached.insert(engine.clone(), now);
        }
    }

    /// Records that an engine was reached through another node, but not directly. Returns whether that is new.
    pub fn note_blocked(&mut self, engine: &BackEndName, now: Timestamp) -> bool {
        self.out_of_reach.remove(engine);
        let is_known = self.blocked.contains_key(engine);
        if is_known || self.blocked.len() >= MAX_ENGINES {
            return false;
        }
        self.reached.remove(engine);
        if self.blocked.is_empty() {
            self.probe_interval = self.next_probe_interval(now);
        }
        let path = Blocked {
            since: now,
            probe_at: now.after(self.probe_interval),
        };
        self.blocked.insert(engine.clone(), path);
        self.note_change(PathChange::Blocked {
            engine: engine.clone(),
            blocked: self.blocked.len(),
        });
        true
    }

    fn next_probe_interval(&self, now: Timestamp) -> Duration {
        let has_relapsed = self
            .restored_at
            .is_some_and(|at| now.since(at) < RELAPSE_TIME);
        match has_relapsed {
            true => (self.probe_interval * 2).min(MAX_PROBE_INTERVAL),
            false => PROBE_INTERVAL,
        }
    }

    /// The engine that is to be probed now, if any: the one whose probe is due for longest.
    pub fn take_probe(&mut self, now: Timestamp) -> Option<BackEndName> {
        let interval = self.probe_interval;
        let blocked = self.blocked.iter_mut();
        let blocked = blocked.map(|(engine, path)| (engine, &mut path.probe_at, interval));
        let others = self.out_of_reach.iter_mut();
        let others = others.map(|(engine, known)| (engine, &mut known.probe_at, PROBE_INTERVAL));
        let due = blocked.chain(others).filter(|(_, at, _)| **at <= now);
        let (engine, probe_at, interval) = due.min_by_key(|(_, at, _)| **at)?;
        *probe_at = now.after(interval);
        Some(engine.clone())
    }

    /// Forgets engines that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&BackEndName) -> bool) {
        self.blocked.retain(|engine, _| is_listed(engine));
        self.reached.retain(|engine, _| is_listed(engine));
        self.out_of_reach.retain(|engine, _| is_listed(engine));
    }

    /// Number of engines whose direct paths are blocked.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Changes since the last call, the oldest first.
    pub fn take_changes(&mut self) -> Vec<PathChange> {
        self.changes.drain(..).collect()
    }

    fn note_change(&mut self, change: PathChange) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}
