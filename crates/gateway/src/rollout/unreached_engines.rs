//! Engines that do not answer the holder of the order lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

/// Engines keep a rollout from going on when one of them has been out of reach for this long, and no
/// other one has come closer to its weights for as long.
const PATIENCE: Duration = Duration::from_secs(1);

/// Engines with older weights that do not answer the holder of the order lease.
#[derive(Debug, Default)]
pub(super) struct UnreachedEngines {
    /// Since when each of them has not answered.
    since: BTreeMap<BackEndName, Timestamp>,
    /// When an engine that answers was last about to have its weights.
    progressed_at: Option<Timestamp>,
}

impl UnreachedEngines {
    /// Records which engines do not answer now, and whether others come closer to their weights.
    pub(super) fn observe<'a>(
        &mut self,
        unanswered: impl Iterator<Item = &'a BackEndName>,
        is_progressing: bool,
        now: Timestamp,
    ) {
        let unanswered: BTreeSet<_> = unanswered.collect();
        self.since.retain(|name, _| unanswered.contains(name));
        for name in unanswered {
            if !self.since.contains_key(name) {
                self.since.insert(name.clone(), now);
            }
        }
        if is_progressing {
            self.progressed_at = Some(now);
        }
    }

    /// Forgets all, since this node does not hold the lease.
    pub(super) fn clear(&mut self) {
        self.since.clear();
        self.progressed_at = None;
    }

    /// The engines that keep the rollout from going on, in order of their names; none while it goes
    /// on with others.
    pub(super) fn blocking(&self, now: Timestamp) -> Vec<BackEndName> {
        let is_over = |at: Timestamp| now.since(at) >= PATIENCE;
        let is_progressing = !self.progressed_at.is_none_or(is_over);
        if is_progressing || !self.since.values().any(|since| is_over(*since)) {
            return Vec::new();
        }
        self.since.keys().cloned().collect()
    }
}
