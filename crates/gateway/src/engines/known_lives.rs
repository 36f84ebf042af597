//! Which engines have begun again lately.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};

/// News of another node about the life before may come for so long: nodes learn of a change of the list
/// within its bound of some seconds, and those that hear of it late still send what they knew.
const LATE_NEWS: Duration = Duration::from_secs(10);
/// News name the life for longer than others need it, since those may have learned of it later.
const LIFE_TOLD: Duration = Duration::from_secs(15);
/// The life of an engine that went is remembered for so long: an entry comes back within seconds once its
/// engine has begun again, and a node goes by no list that comes later than this.
const GONE_REMEMBERED: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Life {
    incarnation: Incarnation,
    since: Timestamp,
}

/// Which engines have begun again lately, and which lives those had that went.
#[derive(Debug, Default)]
pub struct KnownLives {
    begun: BTreeMap<BackEndName, Life>,
    gone: BTreeMap<BackEndName, Life>,
}

impl KnownLives {
    /// An engine has begun again.
    pub fn note_begun(&mut self, name: &BackEndName, incarnation: Incarnation, now: Timestamp) {
        self.begun
            .retain(|_, life| now.since(life.since) < LIFE_TOLD);
        let since = now;
        self.begun.insert(name.clone(), Life { incarnation, since });
    }

    /// An engine is not listed any more.
    pub fn note_gone(&mut self, name: &BackEndName, incarnation: Incarnation, now: Timestamp) {
        self.gone
            .retain(|_, life| now.since(life.since) < GONE_REMEMBERED);
        let since = now;
        self.gone.insert(name.clone(), Life { incarnation, since });
    }

    /// The last life of an engine that is not listed.
    pub fn of_gone(&self, name: &BackEndName, now: Timestamp) -> Option<Incarnation> {
        let life = self.gone.get(name)?;
        (now.since(life.since) < GONE_REMEMBERED).then_some(life.incarnation)
    }

    /// Whether news of an engine that do not name its life may be about the one before.
    pub fn may_be_late(&self, name: &BackEndName, now: Timestamp) -> bool {
        let life = self.begun.get(name);
        life.is_some_and(|life| now.since(life.since) < LATE_NEWS)
    }

    /// Whether there is an engine whose life news are to name.
    pub fn have_begun(&self, now: Timestamp) -> bool {
        let mut lives = self.begun.values();
        lives.any(|life| now.since(life.since) < LIFE_TOLD)
    }

    /// The life that news of an engine are to name; `None` when it has not begun again lately, since
    /// bytes between zones are dear.
    pub fn to_tell(&self, name: &BackEndName, now: Timestamp) -> Option<Incarnation> {
        let life = self.begun.get(name)?;
        (now.since(life.since) < LIFE_TOLD).then_some(life.incarnation)
    }
}
