//! The work of other zones' nodes at engines.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, ZoneName};

use super::EngineLoadNews;
use crate::engines::EngineLoad;

/// Work that was told longer ago has ended.
const MOST_AGE: Duration = Duration::from_secs(2);

/// The work of other zones' nodes at engines, as each zone told it last.
#[derive(Debug, Default)]
pub struct ZoneLoads {
    zones: BTreeMap<ZoneName, (Timestamp, Vec<EngineLoadNews>)>,
}

impl ZoneLoads {
    /// A zone tells all work of its nodes.
    pub fn note(&mut self, zone: ZoneName, loads: Vec<EngineLoadNews>, now: Timestamp) {
        self.zones.insert(zone, (now, loads));
    }

    /// Adds what is still valid to `sums`.
    pub fn add_to(&self, sums: &mut HashMap<BackEndName, EngineLoad>, now: Timestamp) {
        let valid = self.zones.values();
        let valid = valid.filter(|(told_at, _)| now.since(*told_at) < MOST_AGE);
        for news in valid.flat_map(|(_, loads)| loads) {
            sums.entry(news.0.clone()).or_default().add(news.1);
        }
    }
}
