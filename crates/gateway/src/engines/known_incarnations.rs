//! Which engines have begun again lately.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};

/// News of another node about the life before may come for so long: nodes learn of a change of the list
/// within its bound of some seconds, and those that hear of it late still send what they knew.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(10);
/// News name the life for longer than others need it, since those may have learned of it later.
const REPORTED_AFTER_RESTART: Duration = Duration::from_secs(15);
/// The life of an engine that went is remembered for so long: an entry comes back within seconds once its
/// engine has begun again, and a node goes by no list that comes later than this.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct TimedIncarnation {
    incarnation: Incarnation,
    since: Timestamp,
}

/// Which engines have begun again lately, and which recent those had that went.
#[derive(Debug, Default)]
pub struct KnownIncarnations {
    recently_restarted: BTreeMap<BackEndName, TimedIncarnation>,
    recently_unlisted: BTreeMap<BackEndName, TimedIncarnation>,
}

impl KnownIncarnations {
    /// An engine has begun again.
    pub fn note_restarted(&mut self, name: &BackEndName, incarnation: Incarnation, now: Timestamp) {
        self.recently_restarted
            .retain(|_, known| now.since(known.since) < REPORTED_AFTER_RESTART);
        let since = now;
        self.recently_restarted
            .insert(name.clone(), TimedIncarnation { incarnation, since });
    }

    /// An engine is not listed any more.
    pub fn note_unlisted(&mut self, name: &BackEndName, incarnation: Incarnation, now: Timestamp) {
        self.recently_unlisted
            .retain(|_, known| now.since(known.since) < UNLISTED_RETENTION);
        let since = now;
        self.recently_unlisted
            .insert(name.clone(), TimedIncarnation { incarnation, since });
    }

    /// The last life of an engine that is not listed.
    pub fn of_unlisted(&self, name: &BackEndName, now: Timestamp) -> Option<Incarnation> {
        let known = self.recently_unlisted.get(name)?;
        (now.since(known.since) < UNLISTED_RETENTION).then_some(known.incarnation)
    }

    /// Whether news of an engine that do not name its life may be about the one before.
    pub fn may_concern_previous(&self, name: &BackEndName, now: Timestamp) -> bool {
        let known = self.recently_restarted.get(name);
        known.is_some_and(|known| now.since(known.since) < MAX_UPDATE_DELAY)
    }

    /// Whether there is an engine whose life news are to name.
    pub fn has_recent_restarts(&self, now: Timestamp) -> bool {
        let mut recent = self.recently_restarted.values();
        recent.any(|known| now.since(known.since) < REPORTED_AFTER_RESTART)
    }

    /// The life that news of an engine are to name; `None` when it has not begun again lately, since
    /// bytes between zones are dear.
    pub fn to_report(&self, name: &BackEndName, now: Timestamp) -> Option<Incarnation> {
        let known = self.recently_restarted.get(name)?;
        (now.since(known.since) < REPORTED_AFTER_RESTART).then_some(known.incarnation)
    }
}
