//! Tells other nodes which engines this one can't reach, and doubts those that several can't; see
//! docs/design/silent-engines.md.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, ZoneName};
use ryerouter_core::reach::{Doubt, EngineView, Fleet, ReachChange, Reporter, Site, TrustCause};
use slog::{info, warn};

use super::{Gateway, GatewayState};
use crate::peers::{NodeIdentity, ReachUpdate};
use crate::placement::Placement;
use crate::topology::{Area, Topology};

/// Maximum number of engines that one message names; more wait for the next.
const MAX_ENGINES_PER_MESSAGE: usize = 32;
/// Transmissions of news where messages go to each node directly, since a datagram may be lost.
const TRANSMISSIONS: u32 = 3;
/// The same in larger deployments, where two nodes of each zone forward updates.
const ZONE_TRANSMISSIONS: u32 = 1;

/// The node `identity` as a reporter of engines.
pub(super) fn own_reporter(identity: &NodeIdentity, topology: &Topology) -> Reporter {
    Reporter {
        id: identity.incarnation,
        site: site(&identity.zone, topology),
    }
}

fn site(zone: &ZoneName, topology: &Topology) -> Site {
    let region = match topology.area(zone) {
        Area::Region(region) => Some(region.clone()),
        Area::AllZones | Area::Zone(_) => None,
    };
    Site {
        region,
        zone: zone.clone(),
    }
}

impl Gateway {
    /// Records that an engine's host did not respond to an attempt that began at `began_at`.
    pub(crate) fn note_unreached(&self, placement: &Placement, began_at: Timestamp) {
        if !self.is_same_incarnation(placement) {
            return;
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        let fleet = self.fleet(&state, now);
        let Some(view) = view(&state, &placement.engine) else {
            return;
        };
        let engine = &placement.engine;
        state
            .reach
            .note_unreached(engine, view, began_at, fleet, now);
        self.send_reach_news(&state);
    }

    /// Records that an engine has sent the head of an answer.
    pub(crate) fn note_heard(&self, engine: &BackEndName) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let fleet = self.fleet(&state, now);
        let changes = state.reach.note_heard(engine, fleet, now);
        self.apply_reach_changes(&mut state, changes, now);
    }

    /// Records that an engine has sent a further part of an answer. That matters only while some
    /// engine can't be reached.
    pub(crate) fn note_heard_again(&self, placement: &Placement) {
        let is_idle = self.state().reach.is_idle();
        if !is_idle && self.is_same_incarnation(placement) {
            self.note_heard(&placement.engine);
        }
    }

    /// Whether other nodes' failures make this node doubt an engine.
    pub fn is_doubted(&self, engine: &BackEndName) -> bool {
        self.state().reach.is_doubted(engine)
    }

    /// Resolves once an engine has become doubted after `since`, and still is.
    pub(crate) async fn until_doubted(&self, engine: &BackEndName, since: Timestamp) {
        loop {
            let notified = self.engine_doubted.notified();
            if self.state().reach.doubted_since(engine) > Some(since) {
                return;
            }
            notified.await;
        }
    }

    /// Logs how many connections to engines failed, if any did since the last call.
    pub(crate) fn log_failed_connects(&self) {
        let connects = self.upstream().dialer().take_connects();
        if connects.has_failures() {
            warn!(self.log(), "engine_connects_failed"; "opened" => connects.opened,
                "refused" => connects.refused, "timed_out" => connects.timed_out,
                "engines" => self.state().engines.count());
        }
    }

    /// Lets doubts lapse for which no new evidence came.
    pub fn refresh_reach(&self) {
        if self.state().reach.is_idle() {
            return;
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        let fleet = self.fleet(&state, now);
        let changes = state.reach.tick(fleet, now);
        self.apply_reach_changes(&mut state, changes, now);
    }

    fn fleet(&self, state: &GatewayState, now: Timestamp) -> Fleet {
        Fleet {
            nodes: state.peers.known_count() + 1,
            engines: state.engines.count(),
            unconnected: self.upstream().late_engines(now),
        }
    }

    /// The news for the next message to other nodes of a small deployment.
    pub(super) fn reach_update(
        &self,
        state: &mut GatewayState,
        now: Timestamp,
    ) -> Option<ReachUpdate> {
        match state.peers.is_large() {
            true => None,
            false => self.take_reach_update(state, TRANSMISSIONS, now),
        }
    }

    /// Takes the news that every node of a large deployment needs soon.
    pub(super) fn take_urgent_reach(
        &self,
        state: &mut GatewayState,
        now: Timestamp,
    ) -> Option<ReachUpdate> {
        if !state.peers.is_large() {
            return None;
        }
        let update = self.take_reach_update(state, ZONE_TRANSMISSIONS, now);
        self.send_reach_news(state);
        update
    }

    fn take_reach_update(
        &self,
        state: &mut GatewayState,
        transmissions: u32,
        now: Timestamp,
    ) -> Option<ReachUpdate> {
        if !state.reach.has_news() {
            return None;
        }
        let fleet = self.fleet(state, now);
        let reach = &mut state.reach;
        let news = reach.take_news(MAX_ENGINES_PER_MESSAGE, transmissions, fleet)?;
        Some(ReachUpdate::new(
            self.settings().identity.incarnation,
            &news,
            now,
        ))
    }

    fn send_reach_news(&self, state: &GatewayState) {
        if state.reach.has_news() {
            self.request_peer_send();
        }
    }

    /// Applies what a node of `zone` has told.
    pub(super) fn apply_reach_update(
        &self,
        state: &mut GatewayState,
        update: &ReachUpdate,
        zone: &ZoneName,
        now: Timestamp,
    ) {
        let from = Reporter {
            id: update.reporter,
            site: site(zone, &self.settings().topology),
        };
        let fleet = self.fleet(state, now);
        let news = update.news(now);
        let named = news.unreached.iter().chain(&news.heard);
        let views: Vec<_> = named
            .filter_map(|sighting| {
                let name = &sighting.engine;
                Some((name.clone(), view(state, name)?))
            })
            .collect();
        let view_of = |name: &BackEndName| {
            let known = views.iter().find(|(engine, _)| engine == name);
            known.map(|(_, view)| *view)
        };
        let changes = state.reach.receive(&from, &news, fleet, view_of, now);
        self.apply_reach_changes(state, changes, now);
    }

    fn apply_reach_changes(
        &self,
        state: &mut GatewayState,
        changes: Vec<ReachChange>,
        now: Timestamp,
    ) {
        let is_doubted = |change: &ReachChange| matches!(change, ReachChange::Doubted { .. });
        if changes.iter().any(is_doubted) {
            self.engine_doubted.notify_waiters();
        }
        for change in changes {
            match change {
                ReachChange::Doubted {
                    engine,
                    doubt,
                    probe_at,
                } => {
                    self.doubt(state, &engine, probe_at, now);
                    // The probe then opens a connection, so that nothing is sent to a silent engine.
                    self.upstream().forget(&engine);
                    self.log_engine_doubted(&engine, &doubt, probe_at, now);
                }
                ReachChange::Confirmed { engine, probe_at } => {
                    self.doubt(state, &engine, probe_at, now);
                }
                ReachChange::Trusted {
                    engine,
                    cause,
                    doubted,
                } => {
                    if let Some(engine) = state.engines.get_mut(&engine) {
                        engine.health.trusted(now);
                    }
                    self.log_engine_trusted(&engine, cause, doubted.as_millis() as u64, now);
                }
            }
        }
        self.send_reach_news(state);
    }

    fn doubt(
        &self,
        state: &mut GatewayState,
        engine: &BackEndName,
        probe_at: Timestamp,
        now: Timestamp,
    ) {
        if let Some(engine) = state.engines.get_mut(engine) {
            engine.health.doubted(now, probe_at);
        }
    }

    fn log_engine_doubted(
        &self,
        engine: &BackEndName,
        doubt: &Doubt,
        probe_at: Timestamp,
        now: Timestamp,
    ) {
        let doubts = &self.metrics().engine_doubts;
        doubts.with_label_values(&["doubted"]).inc();
        if let Some(left_out) = self.doubt_sampler().admit(now) {
            warn!(self.log(), "engine_doubted"; "engine" => %engine,
                "reporters" => doubt.reporters, "zones" => doubt.zones,
                "age_ms" => now.since(doubt.newest).as_millis() as u64,
                "probe_in_ms" => probe_at.since(now).as_millis() as u64, "left_out" => left_out);
        }
    }

    fn log_engine_trusted(
        &self,
        engine: &BackEndName,
        cause: TrustCause,
        after_ms: u64,
        now: Timestamp,
    ) {
        let doubts = &self.metrics().engine_doubts;
        doubts.with_label_values(&[&cause.to_string()]).inc();
        if let Some(left_out) = self.doubt_sampler().admit(now) {
            info!(self.log(), "engine_trusted_again"; "engine" => %engine, "by" => %cause,
                "after_ms" => after_ms, "left_out" => left_out);
        }
    }
}

fn view(state: &GatewayState, name: &BackEndName) -> Option<EngineView> {
    let engine = state.engines.get(name)?;
    Some(EngineView {
        incarnation: engine.entry.incarnation,
        heard_at: engine.heard_at.get(),
    })
}
