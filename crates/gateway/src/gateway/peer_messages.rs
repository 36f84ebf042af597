//! Sends messages to other nodes and applies received ones.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use ryerouter_core::Timestamp;
use ryerouter_core::control::StoreVersion;
use slog::{info, warn};

use super::restored_source::departure_updates;
use super::source_log::Proof;
use super::{Gateway, GatewayState, PEER_DISCOVERY_TIME};
use crate::engines::EngineLoad;
use crate::peers::{
    ConfigurationFreshness, EngineLoadUpdate, HolderUpdate, LeaseUpdate, PeerMessage, Publication,
};
use crate::rollout::PublicationTime;
use crate::source::ItemKind;
use crate::sync::Offer;

/// Maximum number of prefixes that one message reports; more wait for the next.
const MAX_HOLDER_UPDATES: usize = 64;
/// Maximum number of extra receivers of a full update: nodes that do not know the size of the
/// deployment, and addresses from which no answer has come yet.
const MAX_EXTRA_RECEIVERS: usize = 4;

/// How long full updates carry a published version of weights.
const PUBLISHED_WEIGHTS_SEND_TIME: Duration = Duration::from_secs(60);

impl Gateway {
    /// Resolves when a message should be sent before the next tick.
    pub async fn peer_send_requested(&self) {
        self.send_requested.notified().await;
    }

    /// Requests that a message is sent at once.
    pub fn request_peer_send(&self) {
        self.send_requested.notify_one();
    }

    /// Whether there are updates to send before the next heartbeat. In a wide zone its reader
    /// gathers the updates of the nodes and forwards them with its own heartbeat.
    pub fn has_peer_updates(&self) -> bool {
        let state = self.state();
        if state.peers.is_wide() {
            return !state.weights_updates.is_empty();
        }
        // Evictions go with the next message: a message of their own costs more than it saves.
        let has_urgent = !state.poison_updates.is_empty()
            || !state.signal_updates.is_empty()
            || state.reach.has_news();
        let sends_here = has_urgent && !state.peers.is_large();
        !state.holder_updates.is_empty() || !state.weights_updates.is_empty() || sends_here
    }

    /// Whether a full update is due: a node has joined that may not know this one, or this node has
    /// just started and received no message, so that no other node may know it.
    pub fn owes_full_update(&self) -> bool {
        let state = self.state();
        let is_alone = state.peers.heard_count() == 0 && self.uptime() < PEER_DISCOVERY_TIME;
        state.owes_full_update || is_alone
    }

    /// Builds the next message to other nodes and removes the updates it carries from the queues.
    pub fn peer_message(&self, is_full_update: bool) -> PeerMessage {
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.sequence += 1;
        let sequence = state.sequence;
        state.sent_times.note(sequence, now);
        state.owes_full_update &= !is_full_update;
        let count = state.holder_updates.len().min(MAX_HOLDER_UPDATES);
        let holders: Vec<_> = state.holder_updates.drain(..count).collect();
        let count = state.drop_updates.len().min(MAX_HOLDER_UPDATES);
        let dropped: Vec<_> = state.drop_updates.drain(..count).collect();
        let weights = std::mem::take(&mut state.weights_updates);
        let loads: Vec<_> = state
            .engines
            .iter()
            .map(|engine| (engine, *engine.own_load.borrow()))
            .filter(|(_, load)| *load != EngineLoad::default())
            .map(|(engine, load)| EngineLoadUpdate(engine.entry.name.clone(), load))
            .collect();
        let lives = state.incarnations_to_send(&[&holders, &dropped], &loads, &weights, now);
        let members = match is_full_update {
            true => state.peers.members(now, &mut rand::rng()),
            false => Vec::new(),
        };
        let named = match is_full_update {
            true => self.publications(&state, PUBLISHED_WEIGHTS_SEND_TIME),
            false => Vec::new(),
        };
        PeerMessage {
            from: self.settings().identity.clone(),
            sequence: state.sequence,
            uptime_ms: self.uptime().as_millis() as u64,
            state: state.node_state,
            gives_orders: state.holds_order_lease(now),
            reaches_store: self.reaches_lease_store(&state),
            lease: lease_update(&mut state, is_full_update, now),
            proof: self.configuration_freshness(&state),
            steady_age_ms: steady_age(&state, now),
            copies: self.replica_freshness(&state, now),
            era: state.era_to_tell(),
            departures: departure_updates(&state, is_full_update, now),
            known_nodes: state.peers.heard_count(),
            echoes: state.peers.echoes(now, &mut rand::rng()),
            members,
            named,
            kv_stores: self.kv_store_updates(&state),
            source_delays: state.kv_stores.delays().updates(now),
            lives,
            loads,
            usages: state.quotas.updates(now),
            reading: state.prefill_demand.updates(now),
            pool_loads: state.shedders.updates(now),
            releases: self.release_updates(&state, is_full_update, now),
            evidence: self.evidence_updates(&state),
            poison: self.poison_updates(&mut state, is_full_update, now),
            signals: self.signal_updates(&mut state, is_full_update, now),
            reach: self.reach_update(&mut state, now),
            served: self.served_versions(&state, now),
            knows_orders: is_full_update && state.releases.knows_orders,
            holders,
            dropped,
            weights,
            reach_question: state.handover.question.clone(),
            reach_answer: state.handover.current_answer(now).map(|(a, _)| a.clone()),
            tunnels: Some(self.tunnel_service()),
            handover: self.handover_update(&state, now),
        }
    }

    fn configuration_freshness(&self, state: &GatewayState) -> Option<ConfigurationFreshness> {
        let age = state.freshness().age(self.clock().now())?;
        Some(ConfigurationFreshness {
            version: state.table.as_ref()?.version(),
            age_ms: age.as_millis() as u64 + 1,
        })
    }

    /// Applies what another node reports of its configuration.
    fn apply_configuration_freshness(&self, state: &mut GatewayState, message: &PeerMessage) {
        let Some(reported) = message.proof else {
            return;
        };
        let now = self.clock().now();
        let age = Duration::from_millis(reported.age_ms);
        // The datagram may have been delayed, so the source may have answered earlier than computed
        // here; the only consequence is a request to the source that is sent too early.
        let answered_at = now.before(age);
        self.note_fresher_peer(state, &message.from, answered_at, now);
        state.source_answered_at = state.source_answered_at.max(Some(answered_at));
        let own_version = state.table.as_ref().map(|table| table.version());
        if own_version < Some(reported.version) {
            let replica = state.replicas.of_mut(ItemKind::Configuration);
            replica.note_behind(now);
            state.transfer.note_offer(Offer {
                version: reported.version,
                address: message.from.peer_address,
            });
        }
        let sent_at = self.echoed_message_sent_at(state, message);
        if let Some(sent_at) = sent_at.filter(|_| own_version == Some(reported.version)) {
            let as_of = sent_at.before(age);
            self.log_proof(state, Proof::of_node(&message.from.name, as_of));
            let replica = state.replicas.of_mut(ItemKind::Configuration);
            replica.confirm(as_of);
        }
    }

    /// When this node sent the newest of its messages that the other node had received. A
    /// confirmation counts from then, since the datagram that carries it may be of any age.
    pub(super) fn echoed_message_sent_at(
        &self,
        state: &GatewayState,
        message: &PeerMessage,
    ) -> Option<Timestamp> {
        let own = self.settings().identity.incarnation;
        let mut echoes = message.echoes.iter();
        let echo = echoes.find(|echo| echo.incarnation == own)?;
        state.sent_times.of(echo.sequence)
    }

    pub(super) fn publications(&self, state: &GatewayState, age: Duration) -> Vec<Publication> {
        let now = self.clock().now();
        let seen = state.deadlines.seen_within(age, now);
        seen.map(|(model, version, (after, by))| Publication {
            model: model.to_owned(),
            version,
            age_ms: now.since(by).as_millis() as u64,
            doubt_ms: by.since(after).as_millis() as u64,
        })
        .collect()
    }

    /// Applies versions of weights whose publication another node has seen.
    pub(super) fn apply_publications(&self, named: &[Publication]) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        for update in named {
            let by = now.before(Duration::from_millis(update.age_ms));
            let after = by.before(Duration::from_millis(update.doubt_ms));
            let at = PublicationTime::Between(after, by);
            let is_newest = state.deadlines.note(&update.model, update.version, at);
            if is_newest {
                info!(self.log(), "weights_named"; "model" => &update.model,
                    "version" => update.version, "by" => "peer", "age_ms" => update.age_ms);
            }
        }
    }

    /// The addresses to send a message to.
    pub fn peer_receivers(&self, is_full_update: bool, random: &mut impl Rng) -> Vec<SocketAddr> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let mut receivers = match std::mem::take(&mut state.broadcast_next) {
            true => state.peers.all_addresses(),
            false => state.peers.receivers(now, random),
        };
        for address in self.handover_receivers(&state, now) {
            if !receivers.contains(&address) {
                receivers.push(address);
            }
        }
        if is_full_update {
            let new_peers = state.new_peers.len().min(MAX_EXTRA_RECEIVERS);
            receivers.extend(state.new_peers.drain(..new_peers));
            let unanswered = state.peers.unanswered_addresses();
            let others = MAX_EXTRA_RECEIVERS - new_peers;
            receivers.extend(unanswered.choose_multiple(random, others));
            receivers.extend(state.peers.next_forgotten(now));
            if !state.new_peers.is_empty() {
                state.owes_full_update = true;
                self.send_requested.notify_one();
            }
        }
        receivers
    }

    /// Pairs a message with its receivers. In a large deployment nodes of other zones get only the
    /// part that does not reach them through this zone's updates.
    pub fn messages_for(
        &self,
        message: PeerMessage,
        receivers: Vec<SocketAddr>,
    ) -> Vec<(PeerMessage, Vec<SocketAddr>)> {
        let state = self.state();
        if !state.peers.is_settled() {
            return vec![(message, receivers)];
        }
        let now = self.clock().now();
        let concerned = self.handover_receivers(&state, now);
        let (concerned, others): (Vec<_>, Vec<_>) = receivers
            .into_iter()
            .partition(|address| concerned.contains(address));
        let (far, near): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|address| state.peers.is_far(*address));
        let mut messages = Vec::new();
        if !concerned.is_empty() {
            messages.push((message.clone(), concerned));
        }
        let message = message.without_reach();
        if !far.is_empty() {
            messages.push((message.clone().without_zone_update(), far));
        }
        messages.push((message, near));
        messages
    }

    /// Updates the metric of live peers.
    pub fn update_peer_count(&self) {
        let now = self.clock().now();
        let alive = self.state().peers.alive(now).count();
        self.metrics().peers.set(alive as i64);
    }

    /// Logs that the machine has been suspended, which makes this node's state older by that time.
    pub fn log_suspension(&self) {
        let suspended = self.clock().suspended();
        let mut state = self.state_mut();
        let before = std::mem::replace(&mut state.logged_suspension, suspended);
        if suspended > before {
            let span = suspended.saturating_sub(before);
            warn!(self.log(), "machine_suspended"; "for_ms" => span.as_millis() as u64);
        }
    }

    /// Applies a message from another node.
    pub fn receive_peer_message(&self, mut message: PeerMessage) {
        if message.from.name == self.settings().identity.name {
            return;
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.drop_other_incarnations(&mut message, now);
        let was_alive = state.peers.is_alive(&message.from.name, now);
        // If every node sent every other one a full update for each node that joins, a start of all
        // nodes would cost messages by the square of their number. A node that has discovered its
        // peers sends one only to nodes that know few others, below.
        if !state.peers.knows(&message.from) && !state.peers.is_settled() {
            state.owes_full_update = true;
            self.send_requested.notify_one();
        }
        if state.peers.needs_deployment_size(&message) {
            // Until it knows the size, that node behaves as in a small deployment, so the full
            // update is sent at once.
            let new_peer = message.from.peer_address;
            if !state.new_peers.contains(&new_peer) {
                state.new_peers.push(new_peer);
            }
            state.owes_full_update = true;
            self.send_requested.notify_one();
        }
        let zone = &self.settings().identity.zone;
        let earlier_report = state.peers.usage_report(&message.from, now);
        if let Some(former) = state.peers.former_process(&message, now).cloned() {
            let incarnation = message.from.incarnation;
            state.permits.note_ended(&former, incarnation, now);
        }
        let is_newest = state.peers.receive(&message, zone, now);
        if is_newest && state.peers.reports_for_itself(&message.from.name) {
            state
                .quotas
                .receive_of_node(earlier_report.as_ref(), &message.usages);
        }
        if state.peers.is_large() {
            for echo in &message.echoes {
                state.peers.note_echo(echo, now);
            }
        }
        for member in &message.members {
            if member.name != self.settings().identity.name {
                state.peers.suggest(member.address);
            }
        }
        let is_near = message.from.zone == self.settings().identity.zone;
        for update in &message.holders {
            state.holders.note(update.0, &update.1, now);
            if is_near {
                self.queue_zone_update(&mut state, update.clone());
            }
        }
        for HolderUpdate(key, engine) in &message.dropped {
            state.holders.forget(*key, engine);
        }
        self.apply_poison_updates(&mut state, &message.poison, now);
        self.apply_signal_updates(&mut state, &message.signals, now);
        self.apply_served_versions(&mut state, &message);
        self.apply_departures(&mut state, &message, now);
        if let Some(update) = &message.reach {
            self.apply_reach_update(&mut state, update, &message.from.zone, now);
        }
        if is_newest {
            for update in &message.kv_stores {
                self.apply_kv_store(&mut state, *update);
            }
            if let Some(age_ms) = message.steady_age_ms {
                let asked_at = now.before(Duration::from_millis(age_ms));
                state.steadiness.note(asked_at);
            }
            self.apply_configuration_freshness(&mut state, &message);
            self.apply_release_updates(&mut state, &message);
            self.apply_handover_news(&mut state, &message);
            self.apply_replica_freshness(&mut state, &message);
            if let Some(lease) = &message.lease
                && let Some(revision) = state.told_revision(lease.version.0, message.era)
            {
                let version = StoreVersion::in_era(revision.era, revision.number);
                state.received_lease = Some(LeaseUpdate {
                    version,
                    ..lease.clone()
                });
            }
            self.note_foreign_loads(&mut state, now);
        }
        if !was_alive && state.peers.is_alive(&message.from.name, now) {
            let alive = state.peers.alive(now).count();
            info!(self.log(), "peer_heard"; "peer" => %message.from.name,
                "state" => %message.state, "alive" => alive);
        }
        drop(state);
        self.apply_publications(&message.named);
        for update in &message.weights {
            self.apply_weights_update(update);
        }
    }
}

fn steady_age(state: &GatewayState, now: Timestamp) -> Option<u64> {
    let age = now.since(state.steadiness.until()?);
    Some(age.as_millis() as u64)
}

/// The order lease, if it has changed since it was last sent or some node may not know it.
fn lease_update(
    state: &mut GatewayState,
    is_full_update: bool,
    now: Timestamp,
) -> Option<LeaseUpdate> {
    let (update, seen_at) = state.observed_lease.clone()?;
    if update.version.era() != state.source_era {
        return None;
    }
    let is_new = state.announced_lease != Some(update.version);
    if !is_new && !is_full_update {
        return None;
    }
    state.announced_lease = Some(update.version);
    let age_ms = now.since(seen_at).as_millis() as u64;
    Some(LeaseUpdate {
        age_ms,
        version: StoreVersion(update.version.revision()),
        ..update
    })
}
