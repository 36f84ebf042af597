//! Incarnations of engines that restarted or were removed from the list recently.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};

/// Updates from other nodes may describe the previous incarnation for this time after a restart.
/// Nodes learn of a list change within a bound of some seconds, and those that learn of it late
/// still send what they knew before.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(10);
/// Updates to other nodes name the new incarnation for this time after a restart. It is longer than
/// [`MAX_UPDATE_DELAY`], because the receivers may have learned of the restart later.
const REPORTED_AFTER_RESTART: Duration = Duration::from_secs(15);
/// Incarnations of unlisted engines are kept for this time. A restarted engine is listed again
/// within seconds, and nodes don't use lists older than this.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct TimedIncarnation {
    incarnation: Incarnation,
    since: Timestamp,
}

/// Incarnations of engines that restarted recently, and last incarnations of engines that were
/// removed from the list.
#[derive(Debug, Default)]
pub struct KnownIncarnations {
    recently_restarted: BTreeMap<BackEndName, TimedIncarnation>,
    recently_unlisted: BTreeMap<BackEndName, TimedIncarnation>,
}

impl KnownIncarnations {
    /// Records that an engine has restarted.
    pub fn note_restarted(&mut self, name: &BackEndName, incarnation: Incarnation, now: Timestamp) {
        self.recently_restarted
            .retain(|_, known| now.since(known.since) < REPORTED_AFTER_RESTART);
        let since = now;
        self.recently_restarted
            .insert(name.clone(), TimedIncarnation { incarnation, since });
    }

    /// Records that an engine was removed from the list.
    pub fn note_unlisted(&mut self, name: &BackEndName, incarnation: Incarnation, now: Timestamp) {
        self.recently_unlisted
            .retain(|_, known| now.since(known.since) < UNLISTED_RETENTION);
        let since = now;
        self.recently_unlisted
            .insert(name.clone(), TimedIncarnation { incarnation, since });
    }

    /// Last incarnation of an engine that is not listed.
    pub fn of_unlisted(&self, name: &BackEndName, now: Timestamp) -> Option<Incarnation> {
        let known = self.recently_unlisted.get(name)?;
        (now.since(known.since) < UNLISTED_RETENTION).then_some(known.incarnation)
    }

    /// Whether an update about the engine that doesn't name an incarnation may describe the
    /// previous one.
    pub fn may_concern_previous(&self, name: &BackEndName, now: Timestamp) -> bool {
        let known = self.recently_restarted.get(name);
        known.is_some_and(|known| now.since(known.since) < MAX_UPDATE_DELAY)
    }

    /// Whether there are engines whose incarnation must be named in updates.
    pub fn has_recent_restarts(&self, now: Timestamp) -> bool {
        let mut recent = self.recently_restarted.values();
        recent.any(|known| now.since(known.since) < REPORTED_AFTER_RESTART)
    }

    /// The incarnation to name in updates about the engine; `None` if it hasn't restarted recently,
    /// because traffic between zones is expensive.
    pub fn to_report(&self, name: &BackEndName, now: Timestamp) -> Option<Incarnation> {
        let known = self.recently_restarted.get(name)?;
        (now.since(known.since) < REPORTED_AFTER_RESTART).then_some(known.incarnation)
    }
}
