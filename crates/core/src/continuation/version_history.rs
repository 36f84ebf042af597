//! Software versions that serve the pools, or did a while ago.

use std::collections::BTreeMap;
use std::time::Duration;

use super::register::RETENTION;
use crate::Timestamp;
use crate::identity::PoolName;
use crate::release::SoftwareVersion;

/// Time after which a version is known to every node whose list of engines counts as current. A version gets new
/// streams after this time, and a list that was confirmed longer ago proves nothing about the versions that serve.
pub const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// How long a version that has left is known, so that its record in the store is told apart from one of a version that
/// this node has not heard of yet.
const KNOWN_TIME: Duration = Duration::from_secs(240);

/// When a version was listed.
#[derive(Debug, Clone, Copy)]
struct Seen {
    first_at: Timestamp,
    /// When this node's own list last held it.
    listed_at: Option<Timestamp>,
    /// When another node's list last held it, as that node reported.
    told_at: Option<Timestamp>,
}

impl Seen {
    fn last_at(&self) -> Option<Timestamp> {
        self.listed_at.max(self.told_at)
    }
}

/// Software versions that serve the pools, or did within the time for which streams are remembered.
#[derive(Debug, Default)]
pub struct VersionHistory {
    pools: BTreeMap<PoolName, BTreeMap<SoftwareVersion, Seen>>,
    /// Pools in which a version may have served that is not known by name, and since when that is assumed.
    incomplete: BTreeMap<PoolName, Timestamp>,
}

impl VersionHistory {
    /// Records that this node's list holds an engine of a version. Returns whether this is the pool's second version or
    /// a later one, and new.
    pub fn note_listed(&mut self, pool: &PoolName, software: &str, now: Timestamp) -> bool {
        let (seen, is_new) = self.seen(pool, software, now);
        seen.listed_at = Some(now);
        is_new && self.is_mixed(pool, now)
    }

    /// Records that another node's list held an engine of a version at `at`. Returns the same.
    pub fn note_told(
        &mut self,
        pool: &PoolName,
        software: &str,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let (seen, is_new) = self.seen(pool, software, now);
        seen.told_at = seen.told_at.max(Some(at));
        is_new && self.is_mixed(pool, now)
    }

    fn seen(&mut self, pool: &PoolName, software: &str, now: Timestamp) -> (&mut Seen, bool) {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), BTreeMap::new());
        }
        let versions = self.pools.get_mut(pool).expect("inserted above");
        let known = versions.get(software);
        let is_new = known.is_none_or(|seen| !is_within(seen.last_at(), RETENTION, now));
        if is_new {
            let seen = Seen {
                first_at: now,
                listed_at: None,
                told_at: None,
            };
            versions.insert(software.to_owned(), seen);
        }
        (versions.get_mut(software).expect("inserted above"), is_new)
    }

    /// The versions of a pool, ordered by name.
    pub fn versions(&self, pool: &PoolName, now: Timestamp) -> Vec<SoftwareVersion> {
        let known = self.pools.get(pool).into_iter().flatten();
        let lately = known.filter(|(_, seen)| is_within(seen.last_at(), RETENTION, now));
        lately.map(|(software, _)| software.clone()).collect()
    }

    /// Records that another version may have served a pool, whose name is lost. Returns whether that is new.
    pub fn note_incomplete(&mut self, pool: &PoolName, now: Timestamp) -> bool {
        self.incomplete.insert(pool.clone(), now).is_none()
    }

    /// Whether a version may have served a pool that is not known by name.
    pub fn is_incomplete(&self, pool: &PoolName, now: Timestamp) -> bool {
        is_within(self.incomplete.get(pool).copied(), RETENTION, now)
    }

    /// The pools with known versions.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// Whether streams of several versions may be under way in a pool.
    pub fn is_mixed(&self, pool: &PoolName, now: Timestamp) -> bool {
        if self.is_incomplete(pool, now) {
            return true;
        }
        let known = self.pools.get(pool).into_iter().flatten();
        let mut lately = known.filter(|(_, seen)| is_within(seen.last_at(), RETENTION, now));
        lately.nth(1).is_some()
    }

    /// The versions that appeared so lately that other nodes may not know them, unless the pool has no others.
    pub fn unsettled(&self, pool: &PoolName, now: Timestamp) -> Vec<SoftwareVersion> {
        let known = || self.pools.get(pool).into_iter().flatten();
        let is_unsettled = |seen: &Seen| now.since(seen.first_at) < SETTLING_TIME;
        if known().all(|(_, seen)| is_unsettled(seen)) {
            return Vec::new();
        }
        let unsettled = known().filter(|(_, seen)| is_unsettled(seen));
        unsettled.map(|(software, _)| software.clone()).collect()
    }

    /// The pools with several versions, and the versions that this node's own list held, with the time since then.
    pub fn listed_in_mixed_pools(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&PoolName, Vec<(&SoftwareVersion, Duration)>)> {
        let mixed = self
            .pools
            .keys()
            .filter(move |pool| self.is_mixed(pool, now));
        mixed.map(move |pool| {
            let listed = self.pools[pool].iter().filter_map(|(software, seen)| {
                let age = now.since(seen.listed_at?);
                (age < RETENTION).then_some((software, age))
            });
            (pool, listed.collect())
        })
    }

    /// Whether a version of a pool is known, also if its streams can't be under way any more.
    pub fn is_known(&self, pool: &PoolName, software: &str) -> bool {
        let versions = self.pools.get(pool);
        versions.is_some_and(|versions| versions.contains_key(software))
    }

    /// Forgets versions that have not served for long.
    pub fn expire(&mut self, now: Timestamp) {
        for versions in self.pools.values_mut() {
            versions.retain(|_, seen| is_within(seen.last_at(), KNOWN_TIME, now));
        }
        self.pools.retain(|_, versions| !versions.is_empty());
        self.incomplete
            .retain(|_, at| is_within(Some(*at), RETENTION, now));
    }
}

fn is_within(at: Option<Timestamp>, limit: Duration, now: Timestamp) -> bool {
    at.is_some_and(|at| now.since(at) < limit)
}
