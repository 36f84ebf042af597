//! Software versions of a pool's listed engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{Incarnation, PoolName};
use ryerouter_core::release::SoftwareVersion;

use crate::engines::{Engine, EngineTable};

/// Time for which a version gets no requests after it first appears. An order for it may follow, and an ordered
/// version must not get more than its share of the requests. The list of engines may contain a version before its order
/// arrives: engines and orders are read by different calls to the source, and if the node that follows the orders
/// fails, it takes two seconds until another one has read them.
const ORDER_WAIT: Duration = Duration::from_secs(3);

/// Summary of the listed engines of one version.
#[derive(Debug, Clone, Copy)]
struct Listed {
    engines: usize,
    /// When an engine of the version was first listed.
    first_at: Timestamp,
    /// Incarnation of the oldest engine; `None` if no engine has a known one.
    oldest: Option<Incarnation>,
}

impl Listed {
    fn first(engine: &Engine) -> Self {
        Self {
            engines: 1,
            first_at: engine.listed_at,
            oldest: engine.entry.incarnation,
        }
    }

    fn add(&mut self, engine: &Engine) {
        self.engines += 1;
        self.first_at = self.first_at.min(engine.listed_at);
        let incarnations = [self.oldest, engine.entry.incarnation];
        self.oldest = incarnations.into_iter().flatten().min();
    }
}

/// Software versions of a pool's listed engines.
#[derive(Debug, Clone, Default)]
pub struct ListedVersions(BTreeMap<SoftwareVersion, Listed>);

impl ListedVersions {
    /// Collects the versions of a pool.
    pub fn of(engines: &EngineTable, pool: &PoolName) -> Self {
        let mut versions: BTreeMap<SoftwareVersion, Listed> = BTreeMap::new();
        for engine in engines.of_pool(pool) {
            match versions.get_mut(&engine.entry.software) {
                Some(listed) => listed.add(engine),
                None => {
                    let version = engine.entry.software.clone();
                    versions.insert(version, Listed::first(engine));
                }
            }
        }
        Self(versions)
    }

    /// Whether engines of a version are listed.
    pub fn has(&self, version: &str) -> bool {
        self.0.contains_key(version)
    }

    /// All versions, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &SoftwareVersion> {
        self.0.keys()
    }

    /// All versions except `version`, ordered by name.
    pub fn all_except<'a>(&'a self, version: &'a str) -> impl Iterator<Item = &'a SoftwareVersion> {
        self.iter().filter(move |other| *other != version)
    }

    /// Whether there is at most one version.
    pub fn is_uniform(&self) -> bool {
        self.0.len() <= 1
    }

    /// The version of the oldest engine, which during a release is normally the present one; if no engine's age is
    /// known, the version with the most engines.
    pub fn oldest(&self) -> Option<&SoftwareVersion> {
        let by_age = self.0.iter().filter(|(_, listed)| listed.oldest.is_some());
        let oldest = by_age.min_by_key(|(_, listed)| listed.oldest);
        let most = || {
            // Of several with equal counts, `min_by_key` returns the first by name.
            let rank =
                |(_, listed): &(&SoftwareVersion, &Listed)| std::cmp::Reverse(listed.engines);
            self.0.iter().min_by_key(rank)
        };
        oldest.or_else(most).map(|(version, _)| version)
    }

    /// Whether all engines of `version` were started after the oldest one of `other`; `false` if the age of either is
    /// not known.
    pub fn is_newer(&self, version: &str, other: &str) -> bool {
        let oldest = |version| self.0.get(version).and_then(|listed| listed.oldest);
        let other = oldest(other);
        other.is_some_and(|other| oldest(version).is_some_and(|oldest| oldest > other))
    }

    /// Versions that appeared so recently that an order for them may still arrive.
    pub fn on_hold(&self, now: Timestamp) -> BTreeSet<SoftwareVersion> {
        let is_new = |listed: &Listed| now.since(listed.first_at) < ORDER_WAIT;
        let on_hold = self.0.iter().filter(|(_, listed)| is_new(listed));
        on_hold.map(|(version, _)| version.clone()).collect()
    }
}
