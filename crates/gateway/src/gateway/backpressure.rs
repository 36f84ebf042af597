//! Applies backpressure signals in the responses of engines; see docs/design/backpressure.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::backpressure::{Change, Exclusion, ExclusionReason, Position};
use ryerouter_core::identity::{BackEndName, NodeName, PoolName};
use ryerouter_core::placement::rendezvous_score;
use slog::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use super::update_queue::{rotating_part, take_pending};
use super::{Gateway, GatewayState};
use crate::engines::{Engine, IncarnationOrder};
use crate::peers::{NodeIdentity, SignalUpdate};
use crate::request::AnswerFacts;

/// Maximum number of engines that one message reports; more wait for the next.
const MAX_UPDATES_PER_MESSAGE: usize = 32;
/// Maximum number of engines' signals in a full update; the next one carries others.
const MAX_PER_FULL_UPDATE: usize = 16;
/// Transmissions of an update where messages go to each node directly, since a datagram may be
/// lost. In larger deployments two nodes of each zone forward updates instead.
const TRANSMISSIONS: u32 = 3;
/// Maximum number of limits whose shares are recomputed in one pass; the others follow in the next
/// passes.
const MAX_REFRESHED_LIMITS: usize = 32;

impl Gateway {
    /// Applies the signals in the response to a request that was sent at `sent_at`.
    pub fn note_signal(
        &self,
        request: &str,
        name: &BackEndName,
        facts: &AnswerFacts,
        sent_at: Timestamp,
    ) {
        self.log_signal(request, name, facts);
        let now = self.clock().now();
        let mut state = self.state_mut();
        let Some(engine) = state.engines.get(name) else {
            return;
        };
        // Nearly all responses carry no signal.
        let condition = &engine.condition;
        if facts.signal.is_empty() && condition.limit().is_none() && condition.fragility().is_none()
        {
            return;
        }
        let Some(engine) = state.engines.get_mut(name) else {
            return;
        };
        let change = engine.condition.apply_signal(&facts.signal, sent_at, now);
        self.refresh_limit(&mut state, name, now);
        if change.needs_report() {
            self.log_change(&state, name, change, now);
            state.signal_updates.insert(name.clone(), TRANSMISSIONS);
            drop(state);
            if change.fragility_changed {
                self.note_fragile_engine(name);
            }
            self.request_peer_send();
        }
    }

    fn log_signal(&self, request: &str, engine: &BackEndName, facts: &AnswerFacts) {
        for field in &facts.invalid_fields {
            self.count_signal("invalid");
            if let Some(left_out) = self.signal_sampler().admit(self.clock().now()) {
                warn!(self.log(), "engine_signal_invalid"; "request" => request,
                    "engine" => %engine, "field" => %field, "left_out" => left_out);
            }
        }
        let signal = &facts.signal;
        if signal.is_empty() {
            return;
        }
        let signals = [
            ("leaving", signal.is_leaving),
            ("rest", signal.backoff.is_some()),
            ("limit", signal.rate_limit.is_some()),
            ("refusals", signal.max_refusals.is_some()),
        ];
        for (kind, _) in signals.iter().filter(|(_, is_present)| *is_present) {
            self.count_signal(kind);
        }
        if let Some(left_out) = self.signal_sampler().admit(self.clock().now()) {
            info!(self.log(), "engine_signal"; "request" => request,
                "engine" => %engine, "leaving" => signal.is_leaving,
                "rest_ms" => signal.backoff.map(|backoff| backoff.as_millis() as u64),
                "limit" => signal.rate_limit, "max_refusals" => signal.max_refusals,
                "left_out" => left_out);
        }
    }

    /// Logs that an engine refused a request for lack of capacity, with what this node knew of the engine's load.
    pub(crate) fn log_full_engine(&self, request: &str, engine: &Engine, arrivals: u32) {
        let Some(left_out) = self.full_sampler().admit(self.clock().now()) else {
            return;
        };
        let now = self.clock().now();
        let age = |at: Option<Timestamp>| at.map(|at| now.since(at).as_millis() as u64);
        info!(self.log(), "engine_full"; "request" => request, "engine" => %engine.entry.name,
            "slots" => engine.entry.slots, "own" => engine.own_load.borrow().requests,
            "foreign" => engine.foreign_load.requests, "arrivals" => arrivals,
            "refusals_in_a_row" => engine.refusals_in_a_row(),
            "refused_before_ms" => age(engine.refused_at()),
            "listed_ms" => now.since(engine.listed_at).as_millis() as u64,
            "left_out" => left_out);
    }

    fn count_signal(&self, kind: &str) {
        let signals = &self.metrics().engine_signals;
        signals.with_label_values(&[kind]).inc();
    }

    fn log_change(&self, state: &GatewayState, name: &BackEndName, change: Change, now: Timestamp) {
        let Some(left_out) = self.signal_sampler().admit(now) else {
            return;
        };
        let limit = state
            .engines
            .get(name)
            .and_then(|engine| engine.condition.limit());
        info!(self.log(), "engine_condition_changed"; "engine" => %name,
            "leaves" => change.is_leaving, "limit_over" => change.limit_ended,
            "fragile" => change.fragility_changed, "fragile_over" => change.fragility_ended,
            "limit" => limit.map(|limit| limit.per_second()),
            "share" => limit.map(|limit| limit.share()), "left_out" => left_out);
    }

    /// Counts a request sent to an engine against the engine's rate limit, if it has one.
    pub(crate) fn note_request_sent(&self, name: &BackEndName) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let engine = state.engines.get(name);
        if engine.is_some_and(|engine| engine.condition.limit().is_some())
            && let Some(engine) = state.engines.get_mut(name)
        {
            engine.condition.record_sent(now);
        }
    }

    /// Time until one of the excluded engines of a pool may be sent a request again; `None` while
    /// any engine takes requests, or when no such time is known.
    pub fn shortest_exclusion(&self, pool: &PoolName) -> Option<Duration> {
        let now = self.clock().now();
        let state = self.state();
        if state
            .engines
            .of_pool(pool)
            .any(|engine| engine.takes_work(now))
        {
            return None;
        }
        let exclusions = exclusions_of(&state, pool, now);
        let until = exclusions.filter_map(|exclusion| exclusion.until);
        Some(until.min()?.since(now))
    }

    /// Numbers of excluded engines of a pool by reason, as text; `None` when none is excluded.
    pub(crate) fn excluded_engines(&self, pool: &PoolName) -> Option<String> {
        let now = self.clock().now();
        let state = self.state();
        let counts = [
            ExclusionReason::Leaving,
            ExclusionReason::BackingOff,
            ExclusionReason::Limited,
        ]
        .map(|reason| {
            let exclusions =
                exclusions_of(&state, pool, now).filter(|exclusion| exclusion.reason == reason);
            (reason, exclusions.count())
        });
        let excluded = counts.iter().filter(|(_, count)| *count > 0);
        let excluded: Vec<_> = excluded
            .map(|(reason, count)| format!("{count} {reason}"))
            .collect();
        (!excluded.is_empty()).then(|| excluded.join(", "))
    }

    /// Recomputes this node's shares of engines' limits, since nodes join and leave, and drops
    /// limits that must have ended.
    pub fn refresh_limits(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.limited_engines.is_empty() {
            return;
        }
        let last = state.last_refreshed_limit.take();
        let later = state
            .limited_engines
            .iter()
            .filter(|name| Some(*name) > last.as_ref());
        let batch: Vec<_> = later.take(MAX_REFRESHED_LIMITS).cloned().collect();
        for name in &batch {
            self.refresh_limit(&mut state, name, now);
        }
        state.last_refreshed_limit = (batch.len() == MAX_REFRESHED_LIMITS)
            .then(|| batch.last().cloned())
            .flatten();
    }

    /// Recomputes the share of the limit of an engine that is listed again, if it advertised one
    /// before its entry was removed.
    pub(super) fn note_listed_again(
        &self,
        state: &mut GatewayState,
        name: &BackEndName,
        now: Timestamp,
    ) {
        let engine = state.engines.get(name);
        if engine.is_some_and(|engine| engine.condition.limit().is_some()) {
            self.refresh_limit(state, name, now);
        }
    }

    /// Logs the limits of engines and what this node has sent.
    pub(crate) fn log_limited_engines(&self) {
        let now = self.clock().now();
        let state = self.state();
        for name in &state.limited_engines {
            let limit = state
                .engines
                .get(name)
                .and_then(|engine| engine.condition.limit());
            let Some(limit) = limit else {
                continue;
            };
            let Some(left_out) = self.signal_sampler().admit(now) else {
                return;
            };
            info!(self.log(), "engine_limited"; "engine" => %name,
                "limit" => limit.per_second(), "share" => limit.share(), "sent" => limit.sent(),
                "named_age_ms" => now.since(limit.advertised_at()).as_millis() as u64,
                "left_out" => left_out);
        }
    }

    fn refresh_limit(&self, state: &mut GatewayState, name: &BackEndName, now: Timestamp) {
        let position = self.sender_position(state, name, now);
        let is_limited = state.engines.get_mut(name).is_some_and(|engine| {
            engine.condition.refresh(&position, now);
            engine.condition.limit().is_some()
        });
        match is_limited {
            true => state.limited_engines.insert(name.clone()),
            false => state.limited_engines.remove(name),
        };
    }

    /// The position of this node among those that may send requests to an engine. Silent nodes keep
    /// theirs until they are dropped from the peer table, since they may only be isolated from this
    /// node.
    fn sender_position(
        &self,
        state: &GatewayState,
        engine: &BackEndName,
        now: Timestamp,
    ) -> Position {
        let own = &self.settings().identity;
        let zone = state.engines.get(engine).map(|engine| &engine.entry.zone);
        let recent = state.peers.recently_heard(now);
        let recent = recent.map(|peer| &peer.identity);
        let all: Vec<_> = recent.filter(|peer| peer.name != own.name).collect();
        let nodes = self.limit_peers(state, now).nodes.max(all.len() + 1);
        let is_near = |node: &NodeIdentity| Some(&node.zone) == zone;
        let is_anyone_near = is_near(own) || all.iter().any(|peer| is_near(peer));
        let may_send = |node: &NodeIdentity| is_near(node) || !is_anyone_near;
        let others = all.iter().filter(|peer| may_send(peer));
        let engine = xxh3_64(engine.as_str().as_bytes());
        let score = |node: &NodeName| rendezvous_score(xxh3_64(node.as_str().as_bytes()), engine);
        let own_score = score(&own.name);
        let mut known = usize::from(may_send(own));
        let mut rank = 0;
        for other in others {
            known += 1;
            rank += usize::from((score(&other.name), &other.name) > (own_score, &own.name));
        }
        let heard_share = (all.len() + 1) as f64 / nodes as f64;
        let senders = (known as f64 / heard_share).round() as usize;
        Position {
            nodes,
            senders,
            known,
            rank: if may_send(own) { rank } else { senders },
            score: own_score as f64 / u64::MAX as f64,
        }
    }

    /// The updates for the next message to other nodes; a full update also carries signals known
    /// for longer.
    pub(super) fn signal_updates(
        &self,
        state: &mut GatewayState,
        is_full_update: bool,
        now: Timestamp,
    ) -> Vec<SignalUpdate> {
        let mut names = match state.peers.is_large() {
            true => Vec::new(),
            false => take_pending(&mut state.signal_updates, MAX_UPDATES_PER_MESSAGE, 1),
        };
        if is_full_update {
            names.extend(signalling_engines_in_rotation(state));
            names.sort_unstable();
            names.dedup();
        }
        updates_of(state, &names, now)
    }

    /// Takes the updates that every node of a large deployment needs soon.
    pub(super) fn take_urgent_signals(
        &self,
        state: &mut GatewayState,
        now: Timestamp,
    ) -> Vec<SignalUpdate> {
        if !state.peers.is_large() {
            return Vec::new();
        }
        let names = take_pending(
            &mut state.signal_updates,
            MAX_UPDATES_PER_MESSAGE,
            TRANSMISSIONS,
        );
        if !state.signal_updates.is_empty() {
            // The updates that did not fit into this message are just as urgent.
            self.request_peer_send();
        }
        updates_of(state, &names, now)
    }

    /// Applies updates received from another node.
    pub(super) fn apply_signal_updates(
        &self,
        state: &mut GatewayState,
        updates: &[SignalUpdate],
        now: Timestamp,
    ) {
        for update in updates {
            let is_same_incarnation = |engine: &&Engine| {
                IncarnationOrder::new(engine.entry.incarnation, update.incarnation)
                    == IncarnationOrder::Same
            };
            if state
                .engines
                .get(&update.engine)
                .filter(is_same_incarnation)
                .is_none()
            {
                continue;
            }
            let Some(engine) = state.engines.get_mut(&update.engine) else {
                continue;
            };
            let was_fragile = engine.condition.fragility().is_some();
            let is_new = engine.condition.merge(&update.report(now));
            if !was_fragile && engine.condition.fragility().is_some() {
                state.permits.newly_fragile.push(update.engine.clone());
                self.returns.wake();
            }
            self.refresh_limit(state, &update.engine, now);
            if is_new && let Some(left_out) = self.signal_sampler().admit(now) {
                info!(self.log(), "engine_condition_heard"; "engine" => %update.engine,
                    "leaving" => update.is_leaving, "limit" => update.limit,
                    "age_ms" => update.limit_age_ms, "max_refusals" => update.max_refusals,
                    "fragile_for_ms" => update.fragile_for_ms, "left_out" => left_out);
            }
        }
    }
}

fn exclusions_of<'a>(
    state: &'a GatewayState,
    pool: &PoolName,
    now: Timestamp,
) -> impl Iterator<Item = Exclusion> + use<'a> {
    let engines: Vec<_> = state.engines.of_pool(pool).collect();
    let exclusions = engines.into_iter();
    exclusions.filter_map(move |engine| engine.condition.exclusion(now))
}

/// The part of the engines with known signals that this full update carries; each carries another.
fn signalling_engines_in_rotation(state: &mut GatewayState) -> Vec<BackEndName> {
    let has_report = |engine: &&Engine| engine.condition.report().is_some();
    let signalled = state.engines.iter().filter(has_report);
    let names: Vec<_> = signalled.map(|engine| engine.entry.name.clone()).collect();
    state.signal_rotation = state.signal_rotation.wrapping_add(1);
    rotating_part(&names, MAX_PER_FULL_UPDATE, state.signal_rotation)
}

fn updates_of(state: &GatewayState, names: &[BackEndName], now: Timestamp) -> Vec<SignalUpdate> {
    let known = names.iter().filter_map(|name| {
        let engine = state.engines.get(name)?;
        let report = engine.condition.report()?;
        Some(SignalUpdate::new(
            name,
            engine.entry.incarnation,
            &report,
            now,
        ))
    });
    known.collect()
}
