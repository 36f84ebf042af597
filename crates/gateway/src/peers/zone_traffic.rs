//! What the nodes of other zones do.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, ZoneName};
use ryerouter_core::quota::{PeerUsage, Usage};

use super::{EngineLoadUpdate, ZoneUpdate};
use crate::engines::EngineLoad;
use crate::placement::{PrefillDemandUpdate, SourceDelayUpdate};
use crate::quotas::{EarlierReport, TenantKey, UsageUpdate};
use crate::shedding::PoolLoadUpdate;

/// Work that was told longer ago has ended.
const MOST_AGE_OF_LOADS: Duration = Duration::from_secs(2);
/// What tenants use is taken to go on for so long: when the node is lost that passes a zone's news
/// on, it takes three to four seconds until another one does, and limits must hold meanwhile.
const MOST_AGE_OF_USAGES: Duration = Duration::from_secs(5);

/// A zone tells three times a second; after so long its last news are only a guess.
const HEARD_WITHIN: Duration = Duration::from_millis(900);

/// What the nodes of one zone do, all together.
#[derive(Debug)]
struct Traffic {
    told_at: Timestamp,
    loads: Vec<EngineLoadUpdate>,
    usages: Vec<UsageUpdate>,
    reading: Vec<PrefillDemandUpdate>,
    pool_loads: Vec<PoolLoadUpdate>,
    source_delays: Vec<SourceDelayUpdate>,
    silent: usize,
}

/// The work of other zones' nodes at engines, and what tenants use there, as each zone told it last.
#[derive(Debug, Default)]
pub struct ZoneTraffic {
    zones: BTreeMap<ZoneName, Traffic>,
}

impl ZoneTraffic {
    /// A zone tells what its nodes do.
    pub fn note(&mut self, news: &ZoneUpdate, loads: Vec<EngineLoadUpdate>, now: Timestamp) {
        let traffic = Traffic {
            told_at: now,
            loads,
            usages: news.usages.clone(),
            reading: news.reading.clone(),
            pool_loads: news.pool_loads.clone(),
            source_delays: news.source_delays.clone(),
            silent: news.silent,
        };
        self.zones.insert(news.zone.clone(), traffic);
    }

    /// The last report of a zone on what tenants use, if it still counts.
    pub fn usage_report(&self, zone: &ZoneName, now: Timestamp) -> Option<EarlierReport> {
        let told = self.zones.get(zone)?;
        let held = now.since(told.told_at);
        (held < MOST_AGE_OF_USAGES).then(|| EarlierReport::new(&told.usages, held))
    }

    /// An engine has begun again, without the work that was told of.
    pub fn forget_loads_of(&mut self, engine: &BackEndName) {
        for traffic in self.zones.values_mut() {
            traffic.loads.retain(|news| news.0 != *engine);
        }
    }

    /// Adds the work of the nodes of a zone, as far as it is still valid, to `sums`.
    pub fn add_loads_of(
        &self,
        zone: &ZoneName,
        sums: &mut HashMap<BackEndName, EngineLoad>,
        now: Timestamp,
    ) {
        self.add_loads(|told| told == zone, sums, now);
    }

    /// The same for all zones but one.
    pub fn add_loads_of_others(
        &self,
        zone: &ZoneName,
        sums: &mut HashMap<BackEndName, EngineLoad>,
        now: Timestamp,
    ) {
        self.add_loads(|told| told != zone, sums, now);
    }

    fn add_loads(
        &self,
        is_added: impl Fn(&ZoneName) -> bool,
        sums: &mut HashMap<BackEndName, EngineLoad>,
        now: Timestamp,
    ) {
        let zones = self.zones.iter().filter(|(zone, _)| is_added(zone));
        let valid = zones.filter(|(_, told)| now.since(told.told_at) < MOST_AGE_OF_LOADS);
        for news in valid.flat_map(|(_, told)| &told.loads) {
            sums.entry(news.0.clone()).or_default().add(news.1);
        }
    }

    /// Adds what tenants use, as far as that is still valid, to `sums`.
    pub fn add_usages_to(&self, sums: &mut HashMap<TenantKey, PeerUsage>, now: Timestamp) {
        for traffic in self.told_within(MOST_AGE_OF_USAGES, now) {
            let is_heard = now.since(traffic.told_at) < HEARD_WITHIN;
            for UsageUpdate(tenant, usage) in &traffic.usages {
                let sum = sums.entry(*tenant).or_default();
                match is_heard {
                    true => sum.add_recent(*usage),
                    false => sum.add_stale(*usage),
                }
            }
        }
    }

    /// Whether news of the zone have arrived lately.
    pub fn is_heard(&self, zone: &ZoneName, now: Timestamp) -> bool {
        let told = self.zones.get(zone);
        told.is_some_and(|told| now.since(told.told_at) < HEARD_WITHIN)
    }

    /// What a tenant uses in a zone, as the zone told last, while that is still valid.
    pub fn told_usage(&self, zone: &ZoneName, tenant: TenantKey, now: Timestamp) -> Option<Usage> {
        let told = self.zones.get(zone)?;
        let is_valid = now.since(told.told_at) < MOST_AGE_OF_USAGES;
        let mut usages = told.usages.iter().filter(|_| is_valid);
        usages
            .find(|update| update.0 == tenant)
            .map(|update| update.1)
    }

    /// What nodes of other zones bring pools to read.
    pub fn reading(&self, now: Timestamp) -> impl Iterator<Item = &PrefillDemandUpdate> {
        let told = self.told_within(MOST_AGE_OF_USAGES, now);
        told.flat_map(|traffic| &traffic.reading)
    }

    /// Load of pools at the nodes of each zone.
    pub fn pool_loads(&self, now: Timestamp) -> impl Iterator<Item = (&ZoneName, &PoolLoadUpdate)> {
        let zones = self.zones.iter();
        let current = zones.filter(move |(_, told)| now.since(told.told_at) < MOST_AGE_OF_LOADS);
        current.flat_map(|(zone, told)| told.pool_loads.iter().map(move |update| (zone, update)))
    }

    /// Delays of the KV stores as the nodes of each zone have measured them.
    pub fn source_delays(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&ZoneName, &SourceDelayUpdate)> {
        let told = self
            .zones
            .iter()
            .filter(move |(_, traffic)| now.since(traffic.told_at) < SourceDelayUpdate::MAX_AGE);
        told.flat_map(|(zone, traffic)| {
            let updates = traffic.source_delays.iter();
            updates.map(move |update| (zone, update))
        })
    }

    /// Nodes of other zones that these have not heard lately, as far as they have told.
    pub fn silent_count(&self, now: Timestamp) -> usize {
        let told = self.told_within(MOST_AGE_OF_USAGES, now);
        told.map(|traffic| traffic.silent).sum()
    }

    fn told_within(&self, age: Duration, now: Timestamp) -> impl Iterator<Item = &Traffic> {
        let told = self.zones.values();
        told.filter(move |traffic| now.since(traffic.told_at) < age)
    }
}
