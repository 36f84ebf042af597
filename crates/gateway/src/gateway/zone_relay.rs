//! News between zones, in a large deployment; see docs/design/reading.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName, ZoneName};

use super::{Gateway, GatewayState};
use crate::engines::EngineLoad;
use crate::peers::{EngineLoadNews, HolderNews, Pass, WeightsNews, ZoneNews};

/// Most prefixes that one message tells of.
const MOST_HOLDERS: usize = 128;
/// Nodes of each other zone that news are sent to which nobody should miss.
const RELAYS_OF_URGENT_NEWS: usize = 2;

/// News, and the nodes that they are to be sent to.
pub type Parcel = (ZoneNews, Vec<SocketAddr>);

impl Gateway {
    /// The news of this node's zone for the other zones; `None` while another node of the zone
    /// sends them, or there is nothing to tell.
    pub fn next_zone_news(&self, with_loads: bool) -> Option<Parcel> {
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
        let loads = with_loads.then(|| self.loads_of_zone(&state, now));
        let told_loads = loads.as_deref().unwrap_or_default();
        let news = ZoneNews {
            lives: state.lives_to_tell(&[&holders], told_loads, &[], now),
            loads,
            usages: match with_loads {
                true => self.usages_of_zone(&state, now),
                false => Vec::new(),
            },
            reading: match with_loads {
                true => self.reading_of_zone(&state, now),
                false => Vec::new(),
            },
            silent: state
                .peers
                .silent_near_count(self.silent_nodes_admit(), now),
            holders,
            ..self.empty_news()
        };
        Some((news, self.relays(&state, 1, now)))
    }

    /// News of loads that every node needs at once, for the own zone and for all others.
    pub fn next_load_news(&self) -> Vec<Parcel> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let weights = std::mem::take(&mut state.load_news);
        if weights.is_empty() {
            return Vec::new();
        }
        let news = ZoneNews {
            lives: state.lives_to_tell(&[], &[], &weights, now),
            weights,
            ..self.empty_news()
        };
        let relays = self.relays(&state, RELAYS_OF_URGENT_NEWS, now);
        let mut parcels = self.parcels_of_zone(&state, &news);
        parcels.push((news, relays));
        parcels
    }

    fn empty_news(&self) -> ZoneNews {
        ZoneNews {
            zone: self.settings().identity.zone.clone(),
            pass: Pass::Zone,
            lives: Vec::new(),
            loads: None,
            usages: Vec::new(),
            reading: Vec::new(),
            silent: 0,
            holders: Vec::new(),
            weights: Vec::new(),
        }
    }

    /// In each other zone the nodes that pass news on: the first by name of those that serve.
    fn relays(&self, state: &GatewayState, most: usize, now: Timestamp) -> Vec<SocketAddr> {
        let own = &self.settings().identity;
        let mut relays: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        // They come in order of their names.
        for peer in state.peers.ready(now) {
            let identity = &peer.identity;
            let of_zone = relays.entry(&identity.zone).or_default();
            if identity.zone != own.zone && of_zone.len() < most {
                of_zone.push(identity.peer_address);
            }
        }
        relays.into_values().flatten().collect()
    }

    /// News for all other nodes of the own zone, in two steps: to about as many nodes as each of
    /// them then passes them on to, so that no link carries them to all.
    fn parcels_of_zone(&self, state: &GatewayState, news: &ZoneNews) -> Vec<Parcel> {
        let near: Vec<_> = state.peers.near().collect();
        let length = (near.len() as f64).sqrt().ceil().max(1.0) as usize;
        let groups: Vec<_> = near.chunks(length).collect();
        let parcels = groups.iter().enumerate().map(|(index, group)| {
            let next = groups.get(index + 1).map(|next| next[0].name.clone());
            let news = ZoneNews {
                pass: Pass::Until(next),
                ..news.clone()
            };
            (news, vec![group[0].peer_address])
        });
        parcels.collect()
    }

    /// News for the nodes of the own zone after this one by name, before `until`.
    fn parcel_until(
        &self,
        state: &GatewayState,
        news: &ZoneNews,
        until: Option<&NodeName>,
    ) -> Parcel {
        let own = &self.settings().identity.name;
        let after = state.peers.near().filter(|near| near.name > *own);
        let before = after.filter(|near| until.is_none_or(|until| near.name < *until));
        let news = ZoneNews {
            pass: Pass::End,
            ..news.clone()
        };
        (news, before.map(|near| near.peer_address).collect())
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

    /// Takes zone news; tells to whom they are to be passed on.
    pub fn hear_zone(&self, news: &ZoneNews) -> Vec<Parcel> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        for HolderNews(key, engine) in &news.holders {
            if !state.is_of_other_life(engine, &news.lives, now) {
                state.holders.note(*key, engine, now);
            }
        }
        let is_other = news.zone != self.settings().identity.zone;
        if let Some(loads) = news.loads.as_ref().filter(|_| is_other) {
            let of_this_life =
                |load: &&EngineLoadNews| !state.is_of_other_life(&load.0, &news.lives, now);
            let loads: Vec<_> = loads.iter().filter(of_this_life).cloned().collect();
            state.zone_traffic.note(news, loads, now);
            self.note_foreign_loads(&mut state, now);
        }
        let parcels = match &news.pass {
            Pass::Zone => self.parcels_of_zone(&state, news),
            Pass::Until(until) => vec![self.parcel_until(&state, news, until.as_ref())],
            Pass::End => Vec::new(),
        };
        let of_this_life =
            |told: &&WeightsNews| !state.is_of_other_life(&told.engine, &news.lives, now);
        let weights: Vec<_> = news.weights.iter().filter(of_this_life).collect();
        drop(state);
        for weights in weights {
            self.note_weights_news(weights);
        }
        parcels
    }

    /// The work of other nodes at engines has changed. With many nodes that happens many times a
    /// second, and the sums are over all engines, so they then wait for the next tick.
    pub(super) fn note_foreign_loads(&self, state: &mut GatewayState, now: Timestamp) {
        state.has_new_loads = true;
        if !state.peers.is_large() {
            sum_foreign_loads(state, now);
        }
    }

    /// Sums up the work of all other nodes at engines, if it has changed.
    pub fn refresh_foreign_loads(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.has_new_loads {
            sum_foreign_loads(&mut state, now);
        }
    }

    /// A prefix that a node of this zone tells of goes on to the other zones.
    pub(super) fn note_zone_news(&self, state: &mut GatewayState, news: HolderNews) {
        if state.peers.is_large() && state.zone_news.len() < MOST_HOLDERS * 8 {
            state.zone_news.push(news);
        }
    }

    /// News of a load for every node: through zones in a large deployment, in the next message to
    /// all in a small one.
    pub(super) fn tell_load(&self, state: &mut GatewayState, news: WeightsNews) {
        match state.peers.is_large() {
            true => state.load_news.push(news),
            false => state.weights_news.push(news),
        }
        self.tell_peers_soon();
    }
}

fn sum_foreign_loads(state: &mut GatewayState, now: Timestamp) {
    let mut loads = state.peers.loads(now);
    if state.peers.is_large() {
        state.zone_traffic.add_loads_to(&mut loads, now);
    }
    state.engines.set_foreign_loads(&loads);
    state.has_new_loads = false;
}
