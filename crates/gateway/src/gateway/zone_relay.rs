//! News between zones, in a large deployment; see docs/design/reading.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, ZoneName};

use super::{Gateway, GatewayState};
use crate::engines::EngineLoad;
use crate::peers::{EngineLoadNews, HolderNews, ZoneNews};

/// Most prefixes that one message tells of.
const MOST_HOLDERS: usize = 128;

impl Gateway {
    /// The news of this node's zone for the other zones, and the nodes that pass them on there;
    /// `None` while another node of the zone does this, or there is nothing to tell.
    pub fn next_zone_news(&self, with_loads: bool) -> Option<(ZoneNews, Vec<SocketAddr>)> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if !state.peers.is_large() || self.reader(&state, now).is_some() {
            state.zone_news.clear();
            return None;
        }
        let told = state.zone_news.len().min(MOST_HOLDERS);
        let holders: Vec<_> = state.zone_news.drain(..told).collect();
        if holders.is_empty() && !with_loads {
            return None;
        }
        let news = ZoneNews {
            zone: self.settings().identity.zone.clone(),
            is_passed_on: false,
            loads: with_loads.then(|| self.loads_of_zone(&state, now)),
            holders,
        };
        Some((news, self.relays(&state, now)))
    }

    /// In each other zone the node that passes news on: the first by name of those that serve.
    fn relays(&self, state: &GatewayState, now: Timestamp) -> Vec<SocketAddr> {
        let own = &self.settings().identity;
        let mut relays: BTreeMap<&ZoneName, SocketAddr> = BTreeMap::new();
        // They come in order of their names.
        for peer in state.peers.ready(now) {
            let identity = &peer.identity;
            if identity.zone != own.zone {
                relays
                    .entry(&identity.zone)
                    .or_insert(identity.peer_address);
            }
        }
        relays.into_values().collect()
    }

    fn loads_of_zone(&self, state: &GatewayState, now: Timestamp) -> Vec<EngineLoadNews> {
        let mut sums: BTreeMap<BackEndName, EngineLoad> = BTreeMap::new();
        for (name, load) in state.peers.loads(now) {
            sums.entry(name).or_default().add(load);
        }
        for engine in state.engines.iter() {
            let load = *engine.own_load.borrow();
            if load != EngineLoad::default() {
                sums.entry(engine.entry.name.clone()).or_default().add(load);
            }
        }
        let told = sums.into_iter();
        told.map(|(name, load)| EngineLoadNews(name, load))
            .collect()
    }

    /// Takes news of another zone; tells to whom they are to be passed on.
    pub fn hear_zone(&self, news: &ZoneNews) -> Vec<SocketAddr> {
        if news.zone == self.settings().identity.zone {
            return Vec::new();
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        for HolderNews(key, engine) in &news.holders {
            state.holders.note(*key, engine, now);
        }
        if let Some(loads) = &news.loads {
            let zone = news.zone.clone();
            state.zone_loads.note(zone, loads.clone(), now);
            self.refresh_foreign_loads(&mut state, now);
        }
        match news.is_passed_on {
            true => Vec::new(),
            false => state.peers.near_addresses(),
        }
    }

    /// Sums up the work of all other nodes at engines.
    pub(super) fn refresh_foreign_loads(&self, state: &mut GatewayState, now: Timestamp) {
        let mut loads = state.peers.loads(now);
        if state.peers.is_large() {
            state.zone_loads.add_to(&mut loads, now);
        }
        state.engines.set_foreign_loads(&loads);
    }

    /// A prefix that a node of this zone tells of goes on to the other zones.
    pub(super) fn note_zone_news(&self, state: &mut GatewayState, news: HolderNews) {
        if state.peers.is_large() && state.zone_news.len() < MOST_HOLDERS * 8 {
            state.zone_news.push(news);
        }
    }
}
