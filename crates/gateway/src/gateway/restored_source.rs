//! Follows a source that comes back from a copy; see docs/design/restored-source.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::{info, warn};

use super::{Gateway, GatewayState};
use crate::engines::EngineState;
use crate::peers::{DepartureUpdate, PeerMessage};
use crate::source::{ItemKind, Revision, Steadiness};

/// Time for which nodes tell each other what a copy of the source may lack: its writers have written everything again by
/// then, and what nobody writes any more has lapsed.
pub(super) const RESTORED_TIME: Duration = Duration::from_secs(30);

/// Maximum number of engines that have left in one message.
const MAX_DEPARTURES: usize = 128;

impl Gateway {
    /// Records the era of what the source answered. In a new one the source may lack what it had acknowledged: entries of
    /// engines that it lacks count as lapsed in an outage, and records are written again.
    pub(super) fn note_era(&self, state: &mut GatewayState, kind: ItemKind, era: u64) {
        let now = self.clock().now();
        let is_restored = state
            .replicas
            .of(kind)
            .revision
            .is_some_and(|known| known.era < era);
        if is_restored && kind == ItemKind::Engines {
            let until = now.after(self.crashed_entry_lifetime());
            state.departures.bar_all(until, now);
            state.engine_list_disrupted_at = Some(now);
            state.steadiness = Steadiness::new(self.settings().entry_ttl);
        }
        if era <= state.source_era {
            return;
        }
        let before = std::mem::replace(&mut state.source_era, era);
        if is_restored {
            warn!(self.log(), "source_restored"; "kind" => %kind, "era" => era, "before" => before);
            state.restored_at = Some(now);
            self.rewrite_poison_records(state, now);
            self.rewrite_stream_records(state, now);
        }
    }
}

impl Gateway {
    /// Applies what another node knows of engines that have left: this node may have started since, or missed it, and a
    /// copy of the source lists them as before.
    pub(super) fn apply_departures(
        &self,
        state: &mut GatewayState,
        message: &PeerMessage,
        now: Timestamp,
    ) {
        if message.era.is_none_or(|era| era < state.source_era) {
            return;
        }
        let until = now.after(self.crashed_entry_lifetime());
        for update in &message.departures {
            let (name, incarnation) = (&update.name, update.incarnation);
            let was_leaving = update.was_leaving;
            match update.is_gone {
                true if state
                    .departures
                    .bar(name, incarnation, was_leaving, until, now) =>
                {
                    self.bar_engine(state, update, now);
                }
                true => {}
                false => {
                    state.departures.note_leaving(name, incarnation, now);
                    self.drain_engine(state, update);
                }
            }
        }
    }

    /// Takes an engine out of use that has gone according to another node.
    fn bar_engine(&self, state: &mut GatewayState, update: &DepartureUpdate, now: Timestamp) {
        let known = state.engines.get(&update.name);
        let known = known.filter(|known| known.entry.incarnation == update.incarnation);
        let Some(entry) = known.map(|known| known.entry.clone()) else {
            return;
        };
        state.departures.hold_back(entry);
        state.engines.remove(&update.name);
        state.holders.forget_engine(&update.name);
        state.reach.forget(&update.name);
        if let Some(left_out) = self.engine_sampler().admit(now) {
            info!(self.log(), "engine_barred"; "engine" => %update.name, "left_out" => left_out);
        }
    }

    fn drain_engine(&self, state: &mut GatewayState, update: &DepartureUpdate) {
        let known = state.engines.get(&update.name);
        let is_ready = known.is_some_and(|known| {
            let is_same = known.entry.incarnation == update.incarnation;
            is_same && known.entry.state == EngineState::Ready
        });
        if !is_ready {
            return;
        }
        if let Some(engine) = state.engines.get_mut(&update.name) {
            engine.entry.state = EngineState::Draining;
            info!(self.log(), "engine_leaves"; "engine" => %update.name, "by" => "peer");
        }
    }

    /// Uses engines again that were barred and are still listed when an entry of a copy would have lapsed.
    pub fn admit_barred_engines(&self) {
        let now = self.clock().now();
        let due = self.state_mut().departures.take_due(now);
        for (mut entry, was_draining) in due {
            if was_draining {
                entry.state = EngineState::Draining;
            }
            info!(self.log(), "engine_admitted_again"; "engine" => %entry.name);
            self.apply_engine_entry(entry);
        }
    }
}

/// Engines that have left lately, while a copy of the source may say otherwise.
pub(super) fn departure_updates(
    state: &GatewayState,
    is_full_update: bool,
    now: Timestamp,
) -> Vec<DepartureUpdate> {
    if !is_full_update || !state.is_restored_within(RESTORED_TIME, now) {
        return Vec::new();
    }
    let gone = state.departures.gone();
    let gone = gone.map(|(name, incarnation, was_leaving)| (name, incarnation, true, was_leaving));
    let leaving = state.engines.iter();
    let leaving = leaving.filter(|engine| engine.entry.state == EngineState::Draining);
    let leaving =
        leaving.map(|engine| (&engine.entry.name, engine.entry.incarnation, false, false));
    let updates = leaving.chain(gone).take(MAX_DEPARTURES);
    updates
        .map(
            |(name, incarnation, is_gone, was_leaving)| DepartureUpdate {
                name: name.clone(),
                incarnation,
                is_gone,
                was_leaving,
            },
        )
        .collect()
}

impl GatewayState {
    /// Whether the source is known to have come back from a copy within this time.
    pub fn is_restored_within(&self, span: Duration, now: Timestamp) -> bool {
        self.restored_at.is_some_and(|at| now.since(at) < span)
    }

    /// A revision that another node told. Builds that know no eras follow the source only until it first comes back from
    /// a copy, so what they tell after that is not comparable.
    pub(super) fn told_revision(&self, number: u64, era: Option<u64>) -> Option<Revision> {
        match era {
            Some(era) => Some(Revision::new(era, number)),
            None if self.restored_at.is_none() => Some(Revision::new(self.source_era, number)),
            None => None,
        }
    }

    /// The era that belongs to the revisions which this node tells; `None` while the source tells none.
    pub(super) fn era_to_tell(&self) -> Option<u64> {
        (self.source_era > 0).then_some(self.source_era)
    }

    /// A revision to tell other nodes; `None` if it is of a former era.
    pub(super) fn revision_to_tell(&self, revision: Option<Revision>) -> Option<u64> {
        let revision = revision.filter(|revision| revision.era == self.source_era);
        revision.map(|revision| revision.number)
    }
}
