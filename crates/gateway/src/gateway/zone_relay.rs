//! News between zones, in a large deployment; see docs/design/reading.md.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName, ZoneName};

use super::{Gateway, GatewayState};
use crate::engines::{EngineLoad, EngineTable};
use crate::peers::{EngineLoadNews, HolderNews, NodeIdentity, Pass, Peer, WeightsNews, ZoneNews};
use crate::topology::{Area, Distance};

/// Most prefixes that one message tells of.
const MOST_HOLDERS: usize = 128;
/// Nodes of each other zone that news are sent to which nobody should miss.
const RELAYS_OF_URGENT_NEWS: usize = 2;

/// Nodes of each other region that take turns to pass news on there.
const REMOTE_RELAYS: usize = 2;

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
        // Each message goes to all nodes of a zone.
        if state.peers.is_wide() && !with_loads {
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
            releases: match with_loads {
                true => self.release_news(&state, false, now),
                false => Vec::new(),
            },
            evidence: match with_loads {
                true => self.evidence_of_zone(&state),
                false => Vec::new(),
            },
            silent: state
                .peers
                .silent_near_count(self.silent_nodes_admit(), now),
            holders,
            ..self.empty_news()
        };
        let relays = self.relays(&state, 1, now);
        state.relay_turn = state.relay_turn.wrapping_add(1);
        Some((news, relays))
    }

    /// The work of all nodes of this zone and the prefixes that wait to be told, for the nodes of a wide zone;
    /// nothing while another node reads for it. The news for other zones follow, and take the prefixes out.
    pub fn next_news_of_own_zone(&self) -> Vec<Parcel> {
        let now = self.clock().now();
        let state = self.state();
        if !state.peers.is_wide() || self.reader(&state, now).is_some() {
            return Vec::new();
        }
        let holders = state.zone_news.iter().take(MOST_HOLDERS);
        let holders: Vec<_> = holders.cloned().collect();
        let loads = self.loads_of_zone(&state, now);
        let news = ZoneNews {
            lives: state.lives_to_tell(&[&holders], &loads, &[], now),
            loads: Some(loads),
            holders,
            ..self.empty_news()
        };
        self.parcels_of_zone(&state, &news, now)
    }

    /// News of loads, of stages of releases, of requests that end engines and of what engines say of themselves that every
    /// node needs at once, for the own zone and for all others.
    pub fn next_load_news(&self) -> Vec<Parcel> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let weights = std::mem::take(&mut state.load_news);
        let releases = self.take_urgent_releases(&mut state, now);
        let poison = self.take_urgent_poison(&mut state, now);
        let signals = self.take_urgent_signals(&mut state, now);
        if weights.is_empty() && releases.is_empty() && poison.is_empty() && signals.is_empty() {
            return Vec::new();
        }
        let news = ZoneNews {
            lives: state.lives_to_tell(&[], &[], &weights, now),
            weights,
            releases,
            poison,
            signals,
            ..self.empty_news()
        };
        let relays = self.relays(&state, RELAYS_OF_URGENT_NEWS, now);
        let mut parcels = self.parcels_of_zone(&state, &news, now);
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
            releases: Vec::new(),
            evidence: Vec::new(),
            poison: Vec::new(),
            signals: Vec::new(),
            weights: Vec::new(),
        }
    }

    /// The nodes that pass news on: in each other zone of the own region, and in each other region,
    /// the first of those that serve.
    fn relays(&self, state: &GatewayState, most: usize, now: Timestamp) -> Vec<SocketAddr> {
        let own = &self.settings().identity.zone;
        let topology = &self.settings().topology;
        let mut near: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        let mut remote: BTreeMap<Area<'_>, Vec<SocketAddr>> = BTreeMap::new();
        for peer in largest_first(state, now) {
            let NodeIdentity {
                zone, peer_address, ..
            } = &peer.identity;
            let (of_place, most) = match topology.distance(own, zone) {
                Distance::Near => continue,
                Distance::SameRegion => (near.entry(zone).or_default(), most),
                Distance::Remote => {
                    let of_region = remote.entry(topology.area(zone)).or_default();
                    (of_region, most.max(REMOTE_RELAYS))
                }
            };
            if of_place.len() < most {
                of_place.push(*peer_address);
            }
        }
        // They take turns: one that is lost, or can't reach the others of its region, leaves gaps of
        // two messages until it is missed, which is less than news may be late.
        for relays in remote.values_mut() {
            let turn = state.relay_turn % relays.len();
            relays.rotate_left(turn);
            relays.truncate(most);
        }
        near.into_values()
            .chain(remote.into_values())
            .flatten()
            .collect()
    }

    /// News of another region for the other zones of the own one.
    fn parcel_of_region(&self, state: &GatewayState, news: &ZoneNews, now: Timestamp) -> Parcel {
        let own = &self.settings().identity.zone;
        let topology = &self.settings().topology;
        let most = match is_urgent(news) {
            true => RELAYS_OF_URGENT_NEWS,
            false => 1,
        };
        let mut relays: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for peer in largest_first(state, now) {
            let NodeIdentity {
                zone, peer_address, ..
            } = &peer.identity;
            if topology.distance(own, zone) == Distance::SameRegion {
                let of_zone = relays.entry(zone).or_default();
                if of_zone.len() < most {
                    of_zone.push(*peer_address);
                }
            }
        }
        let news = ZoneNews {
            pass: Pass::OwnZone,
            ..news.clone()
        };
        (news, relays.into_values().flatten().collect())
    }

    /// News for all other nodes of the own zone, in two steps: to about as many nodes as each of
    /// them then passes them on to, so that no link carries them to all.
    fn parcels_of_zone(
        &self,
        state: &GatewayState,
        news: &ZoneNews,
        now: Timestamp,
    ) -> Vec<Parcel> {
        let own = &self.settings().identity;
        let alive = state.peers.alive(now).filter(|peer| peer.is_near);
        let alive: BTreeSet<_> = alive.map(|peer| &peer.identity.name).collect();
        let near: Vec<_> = state.peers.near().collect();
        let is_urgent = is_urgent(news);
        let is_own = news.zone == own.zone;
        let groups = match is_urgent && !is_own {
            true => self.groups_of_urgent_news(&near),
            false => near.chunks(length_of_groups(&near)).collect(),
        };
        let parcels = groups.iter().enumerate().map(|(index, group)| {
            let next = groups.get(index + 1).map(|next| next[0].name.clone());
            let news = ZoneNews {
                pass: Pass::Until(next),
                ..news.clone()
            };
            // A silent node may pass nothing on, so the group's next one has to. Urgent news can't
            // wait until it is known to be silent.
            let first_alive = group.iter().position(|near| alive.contains(&near.name));
            let has_spare = is_urgent && (is_own || index == 0);
            let heads = first_alive.unwrap_or_default() + 1 + usize::from(has_spare);
            let heads = group.iter().take(heads);
            (news, heads.map(|near| near.peer_address).collect())
        });
        parcels.collect()
    }

    /// Two nodes of a zone pass urgent news on. The groups of every other node by name are shifted by
    /// half a group: whoever has just been lost heads a group of one of the two at most, but for the
    /// first, where these two are and which therefore has a spare head.
    fn groups_of_urgent_news<'a>(
        &self,
        near: &'a [&'a NodeIdentity],
    ) -> Vec<&'a [&'a NodeIdentity]> {
        let own = &self.settings().identity.name;
        let length = length_of_groups(near);
        let rank = near.iter().filter(|other| other.name < *own).count();
        let first = match rank.is_multiple_of(2) {
            true => length,
            false => length / 2,
        };
        let (first, others) = near.split_at(first.max(1).min(near.len()));
        let groups = std::iter::once(first).chain(others.chunks(length));
        groups.filter(|group| !group.is_empty()).collect()
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
        let prefill_tokens_per_ms = self.settings().prices.prefill_tokens_per_ms;
        let is_told = |name: &BackEndName, load: &EngineLoad| {
            let engine = state.engines.get(name);
            let slots = engine.map_or(0, |engine| engine.entry.slots);
            !state.peers.is_wide() || load.is_significant(slots, prefill_tokens_per_ms)
        };
        let told = sums.into_iter().filter(|(name, load)| is_told(name, load));
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
        let is_told_work = is_other || state.peers.is_wide();
        if let Some(loads) = news.loads.as_ref().filter(|_| is_told_work) {
            let of_this_life =
                |load: &&EngineLoadNews| !state.is_of_other_life(&load.0, &news.lives, now);
            let loads: Vec<_> = loads.iter().filter(of_this_life).cloned().collect();
            state.zone_traffic.note(news, loads, now);
            self.note_foreign_loads(&mut state, now);
        }
        self.take_zone_release_news(&mut state, news);
        self.take_poison_news(&mut state, &news.poison, now);
        self.take_signal_news(&mut state, &news.signals, now);
        let parcels = match &news.pass {
            Pass::Zone if self.is_of_other_region(news) => {
                let mut parcels = self.parcels_of_zone(&state, news, now);
                parcels.push(self.parcel_of_region(&state, news, now));
                parcels
            }
            Pass::Zone | Pass::OwnZone => self.parcels_of_zone(&state, news, now),
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

    fn is_of_other_region(&self, news: &ZoneNews) -> bool {
        let own = &self.settings().identity.zone;
        self.settings().topology.distance(own, &news.zone) == Distance::Remote
    }

    /// The work of other nodes at engines has changed. With many nodes that happens many times a
    /// second, and the sums are over all engines, so they then wait for the next tick.
    pub(super) fn note_foreign_loads(&self, state: &mut GatewayState, now: Timestamp) {
        state.has_new_loads = true;
        if !state.peers.is_large() {
            self.sum_foreign_loads(state, now);
        }
    }

    /// Sums up the work of all other nodes at engines, if it has changed.
    pub fn refresh_foreign_loads(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.has_new_loads {
            self.sum_foreign_loads(&mut state, now);
        }
    }

    /// Sums up the work of all other nodes. In a wide zone that of its nodes comes from the one that reads for it,
    /// which hears them all.
    fn sum_foreign_loads(&self, state: &mut GatewayState, now: Timestamp) {
        let own_zone = &self.settings().identity.zone;
        let is_told_by_reader = state.peers.is_wide() && self.reader(state, now).is_some();
        let mut loads = match is_told_by_reader {
            true => {
                let mut loads = HashMap::new();
                state.zone_traffic.add_loads_of(own_zone, &mut loads, now);
                take_off_own(&mut loads, &state.engines);
                loads
            }
            false => state.peers.loads(now),
        };
        if state.peers.is_large() {
            state
                .zone_traffic
                .add_loads_of_others(own_zone, &mut loads, now);
        }
        state.engines.set_foreign_loads(&loads);
        state.has_new_loads = false;
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

/// The nodes that serve, in the order in which they read for a zone.
fn largest_first(state: &GatewayState, now: Timestamp) -> Vec<&Peer> {
    let mut ready: Vec<_> = state.peers.ready(now).collect();
    ready.sort_unstable_by_key(|peer| peer.identity.reading_rank());
    ready
}

/// Whether these are urgent news, which no node should miss. Regular news tell of releases too, but always
/// with the work at engines; urgent news come without it.
fn is_urgent(news: &ZoneNews) -> bool {
    let is_told_by_itself = !news.weights.is_empty()
        || !news.releases.is_empty()
        || !news.poison.is_empty()
        || !news.signals.is_empty();
    news.loads.is_none() && is_told_by_itself
}

/// Nodes of a group, such that there are about as many groups as nodes in each.
fn length_of_groups(near: &[&NodeIdentity]) -> usize {
    (near.len() as f64).sqrt().ceil().max(1.0) as usize
}

/// The sums of a zone hold this node's work too.
fn take_off_own(loads: &mut HashMap<BackEndName, EngineLoad>, engines: &EngineTable) {
    for (name, load) in loads {
        if let Some(engine) = engines.get(name) {
            load.remove(*engine.own_load.borrow());
        }
    }
}
