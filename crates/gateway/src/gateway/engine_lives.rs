//! Engines that begin again under their names; see docs/design/engine-lives.md.

use std::collections::BTreeSet;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use slog::{debug, info};

use super::{Gateway, GatewayState};
use crate::engines::{EngineEntry, IncarnationOrder};
use crate::peers::{EngineLifeNews, EngineLoadNews, HolderNews, PeerMessage, WeightsNews};
use crate::placement::Placement;
use crate::rollout::EngineReport;

impl Gateway {
    /// Which life of an engine is known.
    pub fn life_of(&self, engine: &BackEndName) -> Option<Incarnation> {
        let state = self.state();
        state.engines.get(engine)?.entry.incarnation
    }

    /// Whether an engine is in the life in which it was chosen: what it did before says nothing of it.
    pub fn is_in_life_of(&self, placement: &Placement) -> bool {
        let known = self.life_of(&placement.engine);
        IncarnationOrder::new(known, placement.incarnation) == IncarnationOrder::Same
    }

    /// What an entry says of the life of its engine. One that has begun again holds and knows nothing,
    /// so all that is known of it is forgotten.
    pub(super) fn take_life(
        &self,
        state: &mut GatewayState,
        entry: &EngineEntry,
    ) -> IncarnationOrder {
        let now = self.clock().now();
        let name = &entry.name;
        let known = match state.engines.get(name) {
            Some(engine) => engine.entry.incarnation,
            None => state.lives.of_unlisted(name, now),
        };
        let told = IncarnationOrder::new(known, entry.incarnation);
        match (told, entry.incarnation) {
            (IncarnationOrder::Newer, Some(incarnation)) => {
                info!(self.log(), "engine_began_again"; "engine" => %name,
                    "incarnation" => incarnation.0, "before" => known.map(|known| known.0));
                state.lives.note_restarted(name, incarnation, now);
                state.forget_life(name);
                self.upstream().forget(name);
            }
            (IncarnationOrder::Older, _) => {
                debug!(self.log(), "former_life_listed"; "engine" => %name);
            }
            _ => {}
        }
        told
    }

    /// What an engine reports of itself, when that is about the life that is known. A report of a newer
    /// one is news of it, which may come before the list has them.
    pub fn take_report_life(
        &self,
        engine: &BackEndName,
        report: &EngineReport,
    ) -> IncarnationOrder {
        let told = IncarnationOrder::new(self.life_of(engine), report.incarnation);
        match told {
            IncarnationOrder::Same => {}
            IncarnationOrder::Older => {
                info!(self.log(), "former_life_reported"; "engine" => %engine);
            }
            IncarnationOrder::Newer => self.take_reported_life(engine, report),
        }
        told
    }

    fn take_reported_life(&self, engine: &BackEndName, report: &EngineReport) {
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
        self.engine_listed(entry);
        // A report is no entry: without one the engine is forgotten in the end.
        let mut state = self.state_mut();
        if let Some(engine) = state.engines.get_mut(engine) {
            engine.is_unlisted = is_unlisted;
        }
        state.has_unlisted |= is_unlisted;
    }
}

impl GatewayState {
    /// Forgets what is known of the life of an engine that is over.
    fn forget_life(&mut self, name: &BackEndName) {
        self.engines.remove(name);
        self.holders.forget_engine(name);
        self.peers.forget_loads_of(name);
        self.zone_traffic.forget_loads_of(name);
        let is_of_other = |news: &HolderNews| news.1 != *name;
        self.holder_news.retain(is_of_other);
        self.dropped_news.retain(is_of_other);
        self.zone_news.retain(is_of_other);
        self.weights_news.retain(|news| news.engine != *name);
        self.load_news.retain(|news| news.engine != *name);
    }

    /// Whether news of an engine are about another life than the one that is known here.
    ///
    /// Those of a newer one are passed over as well: the list tells of it soon, and all that was known
    /// of the engine until then is forgotten with it.
    pub(super) fn is_of_other_life(
        &self,
        engine: &BackEndName,
        lives: &[EngineLifeNews],
        now: Timestamp,
    ) -> bool {
        let mut named = lives.iter().filter(|life| life.0 == *engine);
        match named.next() {
            Some(EngineLifeNews(_, told)) => {
                let known = self.engines.get(engine);
                let known = known.and_then(|known| known.entry.incarnation);
                IncarnationOrder::new(known, Some(*told)) != IncarnationOrder::Same
            }
            None => self.lives.may_concern_previous(engine, now),
        }
    }

    /// Takes news of other lives out of a message.
    pub(super) fn pass_over_other_lives(&self, message: &mut PeerMessage, now: Timestamp) {
        let lives = std::mem::take(&mut message.lives);
        let is_of_this = |engine: &BackEndName| !self.is_of_other_life(engine, &lives, now);
        message.holders.retain(|news| is_of_this(&news.1));
        message.dropped.retain(|news| is_of_this(&news.1));
        message.loads.retain(|news| is_of_this(&news.0));
        message.weights.retain(|news| is_of_this(&news.engine));
    }

    /// The lives that news are to name.
    pub(super) fn lives_to_tell(
        &self,
        holders: &[&[HolderNews]],
        loads: &[EngineLoadNews],
        weights: &[WeightsNews],
        now: Timestamp,
    ) -> Vec<EngineLifeNews> {
        // Mostly none has, and messages go out many times a second.
        if !self.lives.has_recent_restarts(now) {
            return Vec::new();
        }
        let held = holders.iter().copied().flatten().map(|news| &news.1);
        let loaded = loads.iter().map(|news| &news.0);
        let ordered = weights.iter().map(|news| &news.engine);
        let named: BTreeSet<_> = held.chain(loaded).chain(ordered).collect();
        let lives = named.into_iter().filter_map(|engine| {
            let incarnation = self.lives.to_report(engine, now)?;
            Some(EngineLifeNews(engine.clone(), incarnation))
        });
        lives.collect()
    }
}
