//! Which engines a node could not reach, or heard from after others could not.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::reach::{ReachNews, Sighting};
use serde::{Deserialize, Serialize};

use super::readable::readable;

/// Which engines a node could not reach, or heard from after others could not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachUpdate {
    /// Incarnation of the node that tells.
    #[serde(rename = "n")]
    pub reporter: u64,
    /// Whether that node may be cut off itself, so that what it told before is void.
    #[serde(rename = "v", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_void: bool,
    /// Engines that it could not reach.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub unreached: Vec<SightingUpdate>,
    /// Engines that it heard from.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub heard: Vec<SightingUpdate>,
}

/// An observation of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingUpdate {
    /// The engine.
    #[serde(rename = "e")]
    pub engine: BackEndName,
    /// Its incarnation.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// How long ago that was, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

impl ReachUpdate {
    /// News that are told now.
    pub fn new(reporter: u64, news: &ReachNews, now: Timestamp) -> Self {
        let all = |sightings: &[Sighting]| {
            let updates = sightings.iter();
            updates
                .map(|sighting| SightingUpdate::new(sighting, now))
                .collect()
        };
        Self {
            reporter,
            is_void: !news.is_credible,
            unreached: all(&news.unreached),
            heard: all(&news.heard),
        }
    }

    /// What was told now.
    pub fn news(&self, now: Timestamp) -> ReachNews {
        let all = |updates: &[SightingUpdate]| {
            let sightings = updates.iter();
            sightings.map(|update| update.sighting(now)).collect()
        };
        ReachNews {
            is_credible: !self.is_void,
            unreached: all(&self.unreached),
            heard: all(&self.heard),
        }
    }
}

impl SightingUpdate {
    fn new(sighting: &Sighting, now: Timestamp) -> Self {
        Self {
            engine: sighting.engine.clone(),
            incarnation: sighting.incarnation,
            age_ms: now.since(sighting.at).as_millis() as u64,
        }
    }

    fn sighting(&self, now: Timestamp) -> Sighting {
        Sighting {
            engine: self.engine.clone(),
            incarnation: self.incarnation,
            at: now.before(Duration::from_millis(self.age_ms)),
        }
    }
}
