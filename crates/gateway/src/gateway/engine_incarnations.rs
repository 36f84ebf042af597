//! Tracks restarts of engines, which keep their names; see docs/design/engine-lives.md.

use std::collections::BTreeSet;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use slog::{debug, info};

use super::{Gateway, GatewayState};
use crate::engines::{EngineEntry, IncarnationOrder};
use crate::peers::{
    EngineIncarnationUpdate, EngineLoadUpdate, HolderUpdate, PeerMessage, WeightsUpdate,
};
use crate::placement::Placement;
use crate::rollout::EngineReport;

impl Gateway {
    /// The known incarnation of an engine.
    pub fn incarnation_of(&self, engine: &BackEndName) -> Option<Incarnation> {
        let state = self.state();
        state.engines.get(engine)?.entry.incarnation
    }

    /// Whether an engine still runs as the incarnation that a request was assigned to. What an
    /// earlier incarnation did says nothing about a later one.
    pub fn is_same_incarnation(&self, placement: &Placement) -> bool {
        let known = self.incarnation_of(&placement.engine);
        IncarnationOrder::new(known, placement.incarnation) == IncarnationOrder::Same
    }

    /// Compares the incarnation in an entry with the known one. A restarted engine has lost its
    /// cache and its state, so everything known of it is dropped.
    pub(super) fn apply_incarnation(
        &self,
        state: &mut GatewayState,
        entry: &EngineEntry,
    ) -> IncarnationOrder {
        let now = self.clock().now();
        let name = &entry.name;
        let known = match state.engines.get(name) {
            Some(engine) => engine.entry.incarnation,
            None => state.incarnations.of_unlisted(name, now),
        };
        let relation = IncarnationOrder::new(known, entry.incarnation);
        match (relation, entry.incarnation) {
            (IncarnationOrder::Newer, Some(incarnation)) => {
                info!(self.log(), "engine_began_again"; "engine" => %name,
                    "incarnation" => incarnation.0, "before" => known.map(|known| known.0));
                let former = state.engines.get(name);
                if let Some(since) = former.and_then(|former| former.health.ejected_since()) {
                    self.log_engine_back(name, since, &"restart", None);
                }
                state.incarnations.note_restarted(name, incarnation, now);
                state.forget_incarnation(name);
                self.upstream().forget(name);
            }
            (IncarnationOrder::Older, _) => {
                debug!(self.log(), "former_life_listed"; "engine" => %name);
            }
            _ => {}
        }
        relation
    }

    /// Compares the incarnation in an engine's report with the known one. A report of a newer
    /// incarnation is applied as an entry, since it may arrive before the engine list has it.
    pub fn apply_report_incarnation(
        &self,
        engine: &BackEndName,
        report: &EngineReport,
    ) -> IncarnationOrder {
        let relation = IncarnationOrder::new(self.incarnation_of(engine), report.incarnation);
        match relation {
            IncarnationOrder::Same => {}
            IncarnationOrder::Older => {
                info!(self.log(), "former_life_reported"; "engine" => %engine);
            }
            IncarnationOrder::Newer => self.apply_reported_incarnation(engine, report),
        }
        relation
    }

    fn apply_reported_incarnation(&self, engine: &BackEndName, report: &EngineReport) {
        let state = self.state();
        let Some(known) = state.engines.get(engine) else {
            return;
        };
        let entry = EngineEntry {
            weights: report.weights.clone(),
            orders_taken: report.orders_taken,
            incarnation: report.incarnation,
            ..known.entry.clone()
        };
        let is_unlisted = known.is_unlisted;
        drop(state);
        self.apply_engine_entry(entry);
        // A report does not replace an entry: an engine without one is removed eventually.
        let mut state = self.state_mut();
        if let Some(engine) = state.engines.get_mut(engine) {
            engine.is_unlisted = is_unlisted;
        }
        state.has_unlisted_engines |= is_unlisted;
    }
}

impl GatewayState {
    /// Drops what is known of an incarnation that has ended.
    fn forget_incarnation(&mut self, name: &BackEndName) {
        self.engines.remove(name);
        self.reach.forget(name);
        self.holders.forget_engine(name);
        self.peers.forget_loads_of(name);
        self.zone_traffic.forget_loads_of(name);
        let concerns_other_engine = |update: &HolderUpdate| update.1 != *name;
        self.holder_updates.retain(concerns_other_engine);
        self.drop_updates.retain(concerns_other_engine);
        self.zone_updates.retain(concerns_other_engine);
        self.weights_updates.retain(|update| update.engine != *name);
        self.loading_updates.retain(|update| update.engine != *name);
    }

    /// Whether an update about an engine concerns another incarnation than the known one.
    ///
    /// Updates about a newer incarnation are ignored as well: the engine list will report it soon,
    /// and all that was known of the engine until then is dropped at that point.
    pub(super) fn is_of_other_incarnation(
        &self,
        engine: &BackEndName,
        incarnations: &[EngineIncarnationUpdate],
        now: Timestamp,
    ) -> bool {
        let mut engines = incarnations.iter().filter(|update| update.0 == *engine);
        match engines.next() {
            Some(EngineIncarnationUpdate(_, reported)) => {
                let known = self.engines.get(engine);
                let known = known.and_then(|known| known.entry.incarnation);
                IncarnationOrder::new(known, Some(*reported)) != IncarnationOrder::Same
            }
            None => self.incarnations.may_concern_previous(engine, now),
        }
    }

    /// Removes updates about other incarnations from a message.
    pub(super) fn drop_other_incarnations(&self, message: &mut PeerMessage, now: Timestamp) {
        let incarnations = std::mem::take(&mut message.lives);
        let is_of_this =
            |engine: &BackEndName| !self.is_of_other_incarnation(engine, &incarnations, now);
        message.holders.retain(|update| is_of_this(&update.1));
        message.dropped.retain(|update| is_of_this(&update.1));
        message.loads.retain(|update| is_of_this(&update.0));
        message.weights.retain(|update| is_of_this(&update.engine));
    }

    /// The incarnations to include with updates, for engines that restarted recently.
    pub(super) fn incarnations_to_send(
        &self,
        holders: &[&[HolderUpdate]],
        loads: &[EngineLoadUpdate],
        weights: &[WeightsUpdate],
        now: Timestamp,
    ) -> Vec<EngineIncarnationUpdate> {
        // Usually no engine has restarted, and messages are sent many times a second.
        if !self.incarnations.has_recent_restarts(now) {
            return Vec::new();
        }
        let held = holders.iter().copied().flatten().map(|update| &update.1);
        let loaded = loads.iter().map(|update| &update.0);
        let ordered = weights.iter().map(|update| &update.engine);
        let engines: BTreeSet<_> = held.chain(loaded).chain(ordered).collect();
        let incarnations = engines.into_iter().filter_map(|engine| {
            let incarnation = self.incarnations.to_report(engine, now)?;
            Some(EngineIncarnationUpdate(engine.clone(), incarnation))
        });
        incarnations.collect()
    }
}
