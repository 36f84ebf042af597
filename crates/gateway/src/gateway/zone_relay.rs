//! Exchanges updates between the zones of a large deployment; see docs/design/reading.md.
//!
//! An update is sent to few nodes, which forward it. Its field `pass` states to which nodes the
//! receiver forwards it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName, ZoneName};

use super::{Gateway, GatewayState};
use crate::engines::{EngineLoad, EngineTable};
use crate::peers::{
    EngineLoadUpdate, HolderUpdate, NodeIdentity, Pass, Peer, WeightsUpdate, ZoneUpdate,
};
use crate::topology::{Area, Distance};

/// Maximum number of prefixes in one update.
const MAX_HOLDERS_PER_UPDATE: usize = 128;
/// Number of nodes of each other zone that an urgent update is sent to, so that a single lost
/// datagram or node does not stop it.
const URGENT_RELAYS: usize = 2;

/// Number of nodes of each other region that relay updates there in rotation.
const ROTATING_REMOTE_RELAYS: usize = 2;

/// An update and the addresses to send it to.
pub type Envelope = (ZoneUpdate, Vec<SocketAddr>);

impl Gateway {
    /// The next update of this node's zone for the other zones; `None` while another node of the
    /// zone sends them, or when there is nothing to report.
    pub fn next_zone_update(&self, with_loads: bool) -> Option<Envelope> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if !state.peers.is_large() || self.reader(&state, now).is_some() {
            state.zone_updates.clear();
            return None;
        }
        // In a wide zone each message is forwarded to all of its nodes, so updates are sent only
        // with the loads.
        if state.peers.is_wide() && !with_loads {
            return None;
        }
        let count = state.zone_updates.len().min(MAX_HOLDERS_PER_UPDATE);
        let holders: Vec<_> = state.zone_updates.drain(..count).collect();
        if holders.is_empty() && !with_loads {
            return None;
        }
        let loads = with_loads.then(|| self.loads_of_zone(&state, now));
        let sent_loads = loads.as_deref().unwrap_or_default();
        let update = ZoneUpdate {
            lives: state.incarnations_to_send(&[&holders], sent_loads, &[], now),
            loads,
            usages: match with_loads {
                true => self.usages_of_zone(&state, now),
                false => Vec::new(),
            },
            reading: match with_loads {
                true => self.prefill_of_zone(&state, now),
                false => Vec::new(),
            },
            pool_loads: match with_loads {
                true => self.pool_loads_of_zone(&state, now),
                false => Vec::new(),
            },
            source_delays: match with_loads {
                true => self.source_delays_of_zone(&state, now),
                false => Vec::new(),
            },
            releases: match with_loads {
                true => self.release_updates(&state, false, now),
                false => Vec::new(),
            },
            evidence: match with_loads {
                true => self.evidence_of_zone(&state),
                false => Vec::new(),
            },
            silent: state
                .peers
                .silent_near_count(self.silent_node_admission_time(), now),
            holders,
            ..self.empty_update()
        };
        let relays = self.relays(&state, 1, now);
        state.relay_rotation = state.relay_rotation.wrapping_add(1);
        Some((update, relays))
    }

    /// The load that the nodes of this zone together put on each engine, and the queued prefixes,
    /// for the nodes of a wide zone; empty while another node is the zone's reader. The update for
    /// other zones is built afterwards and removes the prefixes from the queue.
    pub fn next_own_zone_updates(&self) -> Vec<Envelope> {
        let now = self.clock().now();
        let state = self.state();
        if !state.peers.is_wide() || self.reader(&state, now).is_some() {
            return Vec::new();
        }
        let holders = state.zone_updates.iter().take(MAX_HOLDERS_PER_UPDATE);
        let holders: Vec<_> = holders.cloned().collect();
        let loads = self.loads_of_zone(&state, now);
        let update = ZoneUpdate {
            lives: state.incarnations_to_send(&[&holders], &loads, &[], now),
            loads: Some(loads),
            pool_loads: self.pool_loads_of_zone(&state, now),
            source_delays: self.source_delays_of_zone(&state, now),
            holders,
            ..self.empty_update()
        };
        self.envelopes_for_zone(&state, &update, now)
    }

    /// Updates that every node of this zone and of all others needs at once: starts and completions
    /// of weight loading, stages of releases, requests that crash engines, signals of engines,
    /// and engines out of reach.
    pub fn next_urgent_updates(&self) -> Vec<Envelope> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let weights = std::mem::take(&mut state.loading_updates);
        let releases = self.take_urgent_releases(&mut state, now);
        let poison = self.take_urgent_poison(&mut state, now);
        let signals = self.take_urgent_signals(&mut state, now);
        let reach = self.take_urgent_reach(&mut state, now);
        let update = ZoneUpdate {
            lives: state.incarnations_to_send(&[], &[], &weights, now),
            weights,
            releases,
            poison,
            signals,
            reach,
            ..self.empty_update()
        };
        if !is_urgent(&update) {
            return Vec::new();
        }
        let relays = self.relays(&state, URGENT_RELAYS, now);
        let mut envelopes = self.envelopes_for_zone(&state, &update, now);
        envelopes.push((update, relays));
        envelopes
    }

    fn empty_update(&self) -> ZoneUpdate {
        ZoneUpdate {
            zone: self.settings().identity.zone.clone(),
            pass: Pass::Zone,
            lives: Vec::new(),
            loads: None,
            usages: Vec::new(),
            reading: Vec::new(),
            pool_loads: Vec::new(),
            source_delays: Vec::new(),
            silent: 0,
            holders: Vec::new(),
            releases: Vec::new(),
            evidence: Vec::new(),
            poison: Vec::new(),
            signals: Vec::new(),
            reach: None,
            weights: Vec::new(),
        }
    }

    /// The nodes that relay updates: the first ready ones in reading order, in each other zone of
    /// this region and in each other region.
    fn relays(&self, state: &GatewayState, max: usize, now: Timestamp) -> Vec<SocketAddr> {
        let own = &self.settings().identity.zone;
        let topology = &self.settings().topology;
        let mut near: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        let mut remote: BTreeMap<Area<'_>, Vec<SocketAddr>> = BTreeMap::new();
        for peer in by_reading_rank(state, now) {
            let NodeIdentity {
                zone, peer_address, ..
            } = &peer.identity;
            let (relays, max) = match topology.distance(own, zone) {
                Distance::Near => continue,
                Distance::SameRegion => (near.entry(zone).or_default(), max),
                Distance::Remote => {
                    let of_region = remote.entry(topology.area(zone)).or_default();
                    (of_region, max.max(ROTATING_REMOTE_RELAYS))
                }
            };
            if relays.len() < max {
                relays.push(*peer_address);
            }
        }
        // Relays of other regions are used in rotation: one that is lost, or can't reach the others
        // of its region, causes gaps of two messages until its failure is noticed, which is less
        // than the delay that updates may have.
        for relays in remote.values_mut() {
            let offset = state.relay_rotation % relays.len();
            relays.rotate_left(offset);
            relays.truncate(max);
        }
        near.into_values()
            .chain(remote.into_values())
            .flatten()
            .collect()
    }

    /// An update from another region, addressed to the other zones of this one.
    fn envelope_for_region(
        &self,
        state: &GatewayState,
        update: &ZoneUpdate,
        now: Timestamp,
    ) -> Envelope {
        let own = &self.settings().identity.zone;
        let topology = &self.settings().topology;
        let max = match is_urgent(update) {
            true => URGENT_RELAYS,
            false => 1,
        };
        let mut relays: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for peer in by_reading_rank(state, now) {
            let NodeIdentity {
                zone, peer_address, ..
            } = &peer.identity;
            if topology.distance(own, zone) == Distance::SameRegion {
                let of_zone = relays.entry(zone).or_default();
                if of_zone.len() < max {
                    of_zone.push(*peer_address);
                }
            }
        }
        let update = ZoneUpdate {
            pass: Pass::OwnZone,
            ..update.clone()
        };
        (update, relays.into_values().flatten().collect())
    }

    /// An update for all other nodes of this zone, in two steps: to the heads of groups, each of
    /// which forwards it to its group. There are about as many groups as nodes in each, so that no
    /// single link carries the update to all nodes.
    fn envelopes_for_zone(
        &self,
        state: &GatewayState,
        update: &ZoneUpdate,
        now: Timestamp,
    ) -> Vec<Envelope> {
        let own = &self.settings().identity;
        let alive = state.peers.alive(now).filter(|peer| peer.is_near);
        let alive: BTreeSet<_> = alive.map(|peer| &peer.identity.name).collect();
        let near: Vec<_> = state.peers.near().collect();
        let is_urgent = is_urgent(update);
        let is_own = update.zone == own.zone;
        let groups = match is_urgent && !is_own {
            true => self.urgent_update_groups(&near),
            false => near.chunks(group_length(&near)).collect(),
        };
        let envelopes = groups.iter().enumerate().map(|(index, group)| {
            let next = groups.get(index + 1).map(|next| next[0].name.clone());
            let update = ZoneUpdate {
                pass: Pass::Until(next),
                ..update.clone()
            };
            // A silent node may forward nothing, so the next node of the group has to. Urgent
            // updates can't wait until the silence is noticed.
            let first_alive = group.iter().position(|near| alive.contains(&near.name));
            let has_backup = is_urgent && (is_own || index == 0);
            let heads = first_alive.unwrap_or_default() + 1 + usize::from(has_backup);
            let heads = group.iter().take(heads);
            (update, heads.map(|near| near.peer_address).collect())
        });
        envelopes.collect()
    }

    /// Groups for forwarding an urgent update of another zone, which two nodes of this zone receive
    /// and forward. Nodes at odd positions by name shift their groups by half a group, so that a
    /// node that has just been lost heads a group of at most one of the two. The exception is the
    /// first group, which the two nodes belong to; it therefore has a backup head.
    fn urgent_update_groups<'a>(
        &self,
        near: &'a [&'a NodeIdentity],
    ) -> Vec<&'a [&'a NodeIdentity]> {
        let own = &self.settings().identity.name;
        let length = group_length(near);
        let rank = near.iter().filter(|other| other.name < *own).count();
        let first = match rank.is_multiple_of(2) {
            true => length,
            false => length / 2,
        };
        let (first, others) = near.split_at(first.max(1).min(near.len()));
        let groups = std::iter::once(first).chain(others.chunks(length));
        groups.filter(|group| !group.is_empty()).collect()
    }

    /// An update for the nodes of this zone that come after this one by name and before `until`.
    fn envelope_until(
        &self,
        state: &GatewayState,
        update: &ZoneUpdate,
        until: Option<&NodeName>,
    ) -> Envelope {
        let own = &self.settings().identity.name;
        let after = state.peers.near().filter(|near| near.name > *own);
        let before = after.filter(|near| until.is_none_or(|until| near.name < *until));
        let update = ZoneUpdate {
            pass: Pass::End,
            ..update.clone()
        };
        (update, before.map(|near| near.peer_address).collect())
    }

    fn loads_of_zone(&self, state: &GatewayState, now: Timestamp) -> Vec<EngineLoadUpdate> {
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
        let is_reported = |name: &BackEndName, load: &EngineLoad| {
            let engine = state.engines.get(name);
            let slots = engine.map_or(0, |engine| engine.entry.slots);
            !state.peers.is_wide() || load.is_significant(slots, prefill_tokens_per_ms)
        };
        let reported = sums
            .into_iter()
            .filter(|(name, load)| is_reported(name, load));
        reported
            .map(|(name, load)| EngineLoadUpdate(name, load))
            .collect()
    }

    /// Applies an update from another node; returns the updates to forward.
    pub fn receive_zone_update(&self, update: &ZoneUpdate) -> Vec<Envelope> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        for HolderUpdate(key, engine) in &update.holders {
            if !state.is_of_other_incarnation(engine, &update.lives, now) {
                state.holders.note(*key, engine, now);
            }
        }
        let is_other = update.zone != self.settings().identity.zone;
        let takes_loads = is_other || state.peers.is_wide();
        if let Some(loads) = update.loads.as_ref().filter(|_| takes_loads) {
            let of_this_incarnation = |load: &&EngineLoadUpdate| {
                !state.is_of_other_incarnation(&load.0, &update.lives, now)
            };
            let loads: Vec<_> = loads.iter().filter(of_this_incarnation).cloned().collect();
            let earlier_report = state.zone_traffic.usage_report(&update.zone, now);
            state
                .quotas
                .receive_of_zone(earlier_report.as_ref(), &update.usages);
            state.zone_traffic.note(update, loads, now);
            self.note_foreign_loads(&mut state, now);
        }
        self.apply_zone_release_updates(&mut state, update);
        self.apply_poison_updates(&mut state, &update.poison, now);
        self.apply_signal_updates(&mut state, &update.signals, now);
        if let Some(reach) = &update.reach {
            self.apply_reach_update(&mut state, reach, &update.zone, now);
        }
        let envelopes = match &update.pass {
            Pass::Zone if self.is_of_other_region(update) => {
                let mut envelopes = self.envelopes_for_zone(&state, update, now);
                envelopes.push(self.envelope_for_region(&state, update, now));
                envelopes
            }
            Pass::Zone | Pass::OwnZone => self.envelopes_for_zone(&state, update, now),
            Pass::Until(until) => vec![self.envelope_until(&state, update, until.as_ref())],
            Pass::End => Vec::new(),
        };
        let of_this_incarnation = |weights: &&WeightsUpdate| {
            !state.is_of_other_incarnation(&weights.engine, &update.lives, now)
        };
        let weights: Vec<_> = update.weights.iter().filter(of_this_incarnation).collect();
        drop(state);
        for weights in weights {
            self.apply_weights_update(weights);
        }
        envelopes
    }

    fn is_of_other_region(&self, update: &ZoneUpdate) -> bool {
        let own = &self.settings().identity.zone;
        self.settings().topology.distance(own, &update.zone) == Distance::Remote
    }

    /// Records that the loads of other nodes at engines have changed. With many nodes that happens
    /// many times a second and the sums cover all engines, so in a large deployment they are
    /// recomputed at the next tick.
    pub(super) fn note_foreign_loads(&self, state: &mut GatewayState, now: Timestamp) {
        state.foreign_loads_changed = true;
        if !state.peers.is_large() {
            self.sum_foreign_loads(state, now);
        }
    }

    /// Sums up the loads of all other nodes at engines, if they have changed.
    pub fn refresh_foreign_loads(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.foreign_loads_changed {
            self.sum_foreign_loads(&mut state, now);
        }
    }

    /// Sums up the loads of all other nodes at engines. In a wide zone the sums for its own nodes
    /// come from its reader, which receives messages from all of them.
    fn sum_foreign_loads(&self, state: &mut GatewayState, now: Timestamp) {
        let own_zone = &self.settings().identity.zone;
        let reader_sums_loads = state.peers.is_wide() && self.reader(state, now).is_some();
        let mut loads = match reader_sums_loads {
            true => {
                let mut loads = HashMap::new();
                state.zone_traffic.add_loads_of(own_zone, &mut loads, now);
                subtract_own(&mut loads, &state.engines);
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
        state.foreign_loads_changed = false;
    }

    /// Queues a prefix reported by a node of this zone, for the other zones. The queue holds at
    /// most what eight updates carry.
    pub(super) fn queue_zone_update(&self, state: &mut GatewayState, update: HolderUpdate) {
        if state.peers.is_large() && state.zone_updates.len() < MAX_HOLDERS_PER_UPDATE * 8 {
            state.zone_updates.push(update);
        }
    }

    /// Sends the start or completion of weight loading to every node: through updates between zones
    /// in a large deployment, in the next message to all nodes in a small one.
    pub(super) fn send_loading_update(&self, state: &mut GatewayState, update: WeightsUpdate) {
        match state.peers.is_large() {
            true => state.loading_updates.push(update),
            false => state.weights_updates.push(update),
        }
        self.request_peer_send();
    }
}

/// The ready nodes in the order in which they become readers of a zone.
fn by_reading_rank(state: &GatewayState, now: Timestamp) -> Vec<&Peer> {
    let mut ready: Vec<_> = state.peers.ready(now).collect();
    ready.sort_unstable_by_key(|peer| peer.identity.reading_rank());
    ready
}

/// Whether an update is urgent, so that no node should miss it. Regular updates carry releases too,
/// but always together with loads; urgent ones carry no loads.
fn is_urgent(update: &ZoneUpdate) -> bool {
    let has_urgent_content = !update.weights.is_empty()
        || !update.releases.is_empty()
        || !update.poison.is_empty()
        || !update.signals.is_empty()
        || update.reach.is_some();
    update.loads.is_none() && has_urgent_content
}

/// Number of nodes in a group such that there are about as many groups as nodes in each.
fn group_length(near: &[&NodeIdentity]) -> usize {
    (near.len() as f64).sqrt().ceil().max(1.0) as usize
}

/// Subtracts this node's own loads, which the sums of its zone include.
fn subtract_own(loads: &mut HashMap<BackEndName, EngineLoad>, engines: &EngineTable) {
    for (name, load) in loads {
        if let Some(engine) = engines.get(name) {
            load.remove(*engine.own_load.borrow());
        }
    }
}
