//! Applies what the source reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use slog::{info, warn};

use super::Gateway;
use super::source_log::{Proof, Query};
use crate::catalogue::RoutingTable;
use crate::engines::{EngineEntry, EngineState, EngineTable, IncarnationOrder};
use crate::source::{
    Consistency, Item, ItemBatch, ItemChange, ItemKind, List, Revision, SourceError,
};
use crate::sync::ListFill;

/// A response that takes no longer than this shows that the source was available when the request
/// was sent: it answers within milliseconds, or some hundred when it is slow.
const TIMELY_RESPONSE_LIMIT: Duration = Duration::from_millis(500);
/// Minimum number of consecutive failed requests that count as a disruption of the source.
const MIN_DISRUPTION_FAILURES: u32 = 2;

/// Why the source doesn't show the newest configuration.
#[derive(Debug, Clone, Copy, Display)]
enum LostConfiguration {
    #[display("the newest can't be read")]
    Unreadable,
    #[display("the list has none")]
    NotListed,
    #[display("it is gone")]
    Gone,
}

impl Gateway {
    /// Applies the list of all items of a kind at `revision`, read by a request sent at `asked_at`.
    pub fn apply_list(
        &self,
        kind: ItemKind,
        items: Vec<Item>,
        revision: impl Into<Revision>,
        asked_at: Timestamp,
    ) {
        let list = List {
            items,
            revision: revision.into(),
            consistency: Consistency::Linearizable,
            asked_at,
        };
        self.apply_list_of(kind, list);
    }

    /// Applies a list of all items of a kind. A list that may be stale confirms nothing.
    pub fn apply_list_of(&self, kind: ItemKind, list: List) {
        let now = self.clock().now();
        let asked_at = list.asked_at;
        let is_current = list.consistency == Consistency::Linearizable;
        let confirmed_at = is_current.then_some(asked_at);
        self.record_list(kind, &list.items, list.revision);
        let mut state = self.state_mut();
        if kind == ItemKind::Configuration && is_current {
            let proof = Proof {
                by: &Query::List,
                as_of: asked_at,
                asked_from: None,
                answered: Some(list.revision),
                is_whole: true,
            };
            self.log_proof(&state, proof);
        }
        let has_others = state.peers.alive(now).next().is_some();
        let replica = state.replicas.of_mut(kind);
        if now.since(asked_at) >= self.late_replica_age() && has_others {
            replica.note_behind(now);
        }
        drop(state);
        self.replace_all(kind, list.items, confirmed_at);
        self.state_mut().replicas.of_mut(kind).read_at = Some(asked_at);
    }

    /// Applies an engine list from another node, used while the source does not answer this one.
    pub(super) fn apply_peer_list(
        &self,
        entries: &[EngineEntry],
        unusable: &[BackEndName],
        revision: Revision,
    ) {
        let entries = entries.iter().cloned().map(Item::Engine);
        let unusable = unusable.iter().cloned().map(Item::Unusable);
        let items: Vec<_> = entries.chain(unusable).collect();
        self.record_list(ItemKind::Engines, &items, revision);
        self.replace_known(ItemKind::Engines, items);
    }

    /// Appends the changes that a list is about to make to the change log, and advances the replica
    /// to the revision of the list.
    fn record_list(&self, kind: ItemKind, items: &[Item], revision: Revision) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let known_era = state.replicas.of(kind).revision.map(|known| known.era);
        self.note_era(&mut state, kind, revision.era);
        if kind == ItemKind::Engines {
            // Changes from the copy of one node lead to that of another only within an era.
            match state.has_engine_list && known_era == Some(revision.era) {
                true => {
                    let changes = list_changes(&state.engines, items);
                    state.engine_log.append(changes, revision, now);
                }
                false => state.engine_log.restart(revision),
            }
        }
        if kind == ItemKind::Weights {
            let seen_after = state.weights_seen_after.get_or_insert(revision);
            if seen_after.era < revision.era {
                *seen_after = revision;
            }
        }
        let replica = state.replicas.of_mut(kind);
        replica.advance(revision, now);
        replica.changed_until = Some(revision);
        replica.is_history_lost = false;
    }

    /// Applies changes up to a revision, from the source in response to a request sent at
    /// `asked_at`, or from another node. A batch older than the replica is ignored, since the
    /// newest state counts; so is one that begins after the replica. Only a whole batch confirms
    /// that the replica is current.
    pub fn apply_batch(&self, kind: ItemKind, batch: ItemBatch, asked_at: Option<Timestamp>) {
        self.apply_batch_of(kind, batch, asked_at, None);
    }

    /// The same for the answer to a watch sent at `asked_at`, which the source was allowed to hold open for `wait`.
    pub fn apply_watched_batch(
        &self,
        kind: ItemKind,
        batch: ItemBatch,
        asked_at: Timestamp,
        wait: Duration,
    ) {
        let held_since = (!wait.is_zero()).then_some(asked_at);
        self.apply_batch_of(kind, batch, Some(asked_at), held_since);
    }

    fn apply_batch_of(
        &self,
        kind: ItemKind,
        batch: ItemBatch,
        asked_at: Option<Timestamp>,
        held_since: Option<Timestamp>,
    ) {
        let mut state = self.state_mut();
        let replica = state.replicas.of(kind);
        let begins_later = asked_at.is_some_and(|at| replica.is_asked_before_step_back(at));
        if replica.revision > Some(batch.revision) || begins_later {
            return;
        }
        if let Some(as_of) = asked_at.filter(|_| kind == ItemKind::Configuration) {
            let proof = Proof {
                by: match held_since {
                    Some(_) => &Query::Watch,
                    None => &Query::Probe,
                },
                as_of,
                asked_from: replica.revision,
                answered: Some(batch.revision),
                is_whole: batch.is_whole,
            };
            self.log_proof(&state, proof);
        }
        let now = self.clock().now();
        let replica = state.replicas.of_mut(kind);
        replica.advance(batch.revision, now);
        if !batch.changes.is_empty() {
            replica.changed_until = Some(batch.revision);
        }
        if kind == ItemKind::Engines {
            for change in &batch.changes {
                if let ItemChange::Present(item) = change
                    && let Some(name) = entry_name(item)
                {
                    state.departures.note_written(name);
                }
            }
            let changes = batch.changes.iter().cloned();
            state.engine_log.append(changes, batch.revision, now);
            state.note_changes_during_fill(&batch);
        }
        drop(state);
        match asked_at {
            Some(asked_at) if batch.is_whole => {
                self.note_engine_list_read(kind);
                self.apply(kind, batch.changes, held_since);
                self.note_source_answer(kind, Some(asked_at));
            }
            Some(_) => self.apply_first_changes(kind, batch, held_since),
            None => self.apply(kind, batch.changes, None),
        }
    }

    /// Replaces all items of a kind by those that the source listed in response to a request sent
    /// at `asked_at`.
    pub fn replace_items(&self, kind: ItemKind, items: Vec<Item>, asked_at: Timestamp) {
        self.replace_all(kind, items, Some(asked_at));
    }

    fn replace_all(&self, kind: ItemKind, items: Vec<Item>, confirmed_at: Option<Timestamp>) {
        self.note_engine_list_read(kind);
        let is_configuration =
            |item: &Item| matches!(item, Item::Configuration(_) | Item::UnreadableConfiguration);
        if kind == ItemKind::Configuration && !items.iter().any(is_configuration) {
            self.note_lost_configuration(LostConfiguration::NotListed);
        }
        self.replace_known(kind, items);
        self.note_source_answer(kind, confirmed_at);
    }

    fn replace_known(&self, kind: ItemKind, items: Vec<Item>) {
        if kind == ItemKind::Engines {
            let listed = items.iter().filter_map(entry_name).collect();
            let gone = self.state().engines.names_outside(&listed);
            for name in gone {
                self.handle_entry_removed(&name);
            }
            let mut state = self.state_mut();
            state.departures.forget_entries();
            state.unusable_entries.clear();
            state.has_engine_list = true;
            state.list_fill = ListFill::default();
        }
        let changes = items.into_iter().map(ItemChange::Present).collect();
        self.apply(kind, changes, None);
        if kind == ItemKind::Weights {
            self.state_mut().has_weights_list = true;
        }
    }

    /// Applies changes, or none, that the source reported in response to a request sent at
    /// `asked_at`.
    pub fn apply_changes(&self, kind: ItemKind, changes: Vec<ItemChange>, asked_at: Timestamp) {
        self.note_engine_list_read(kind);
        self.apply(kind, changes, None);
        self.note_source_answer(kind, Some(asked_at));
    }

    /// Applies the first of the changes that the source has. What follows them is unknown, so they
    /// confirm nothing.
    fn apply_first_changes(&self, kind: ItemKind, batch: ItemBatch, held_since: Option<Timestamp>) {
        info!(self.log(), "copy_not_confirmed"; "kind" => %kind, "reason" => "answer may not be whole",
            "changes" => batch.changes.len(), "revision" => %batch.revision);
        self.note_engine_list_read(kind);
        self.apply(kind, batch.changes, held_since);
        self.note_source_answer(kind, None);
    }

    /// Records that the engine list can be read again after failed requests: entries that expired
    /// meanwhile may return from now on.
    pub(super) fn note_engine_list_read(&self, kind: ItemKind) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if kind == ItemKind::Engines && std::mem::take(&mut state.is_engine_list_failing) {
            state.engine_list_disrupted_at = Some(now);
        }
    }

    /// Records an answer of the source. `confirmed_at` is the time at which the replica was
    /// current, if the answer confirms it.
    pub(super) fn note_source_answer(&self, kind: ItemKind, confirmed_at: Option<Timestamp>) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.is_source_reachable = true;
        state.source_answered_at = Some(now);
        if let Some(confirmed_at) = confirmed_at {
            let replica = state.replicas.of_mut(kind);
            // A late answer may lack what another node has reported meanwhile.
            if replica.behind_since <= Some(confirmed_at) {
                replica.note_caught_up();
            }
            replica.confirm(confirmed_at);
        }
        drop(state);
        self.update_readiness();
    }

    /// Records that the source answered a request that was sent at `asked_at` and that the source
    /// was allowed to hold open for `wait`.
    pub fn note_response_time(&self, asked_at: Timestamp, wait: Duration) {
        let response_time = self.clock().now().since(asked_at);
        if response_time >= wait {
            self.state_mut().source_delay = response_time - wait;
        }
        if response_time < wait + TIMELY_RESPONSE_LIMIT {
            self.state_mut().steadiness.note(asked_at);
        }
    }

    /// Whether the source is known to have answered this node or another one after `moment`.
    pub fn source_answered_since(&self, moment: Timestamp) -> bool {
        let answered_at = self.state().source_answered_at;
        answered_at.is_some_and(|at| at > moment)
    }

    /// Applies changes. `held_since` is the send time of the watch that returned them, if the source
    /// was allowed to hold it open until there were changes.
    pub(super) fn apply(
        &self,
        kind: ItemKind,
        changes: Vec<ItemChange>,
        held_since: Option<Timestamp>,
    ) {
        for change in changes {
            match change {
                ItemChange::Present(Item::Configuration(table)) => {
                    let mut state = self.state_mut();
                    state
                        .replicas
                        .of_mut(ItemKind::Configuration)
                        .note_readable();
                    drop(state);
                    self.adopt_table(table);
                }
                ItemChange::Present(Item::UnreadableConfiguration) => {
                    self.note_lost_configuration(LostConfiguration::Unreadable);
                }
                ItemChange::Present(Item::Engine(entry)) => self.apply_engine_entry(entry),
                ItemChange::Present(Item::Unusable(name)) => self.handle_entry_unusable(&name),
                ItemChange::Present(Item::Weights(named)) => {
                    self.apply_published_weights(&named, held_since);
                }
                ItemChange::Gone(name) if kind == ItemKind::Engines => {
                    self.handle_entry_removed(&BackEndName::new(name));
                }
                ItemChange::Gone(_) if kind == ItemKind::Configuration => {
                    self.note_lost_configuration(LostConfiguration::Gone);
                }
                ItemChange::Gone(_) => {}
            }
        }
    }

    /// Records that the source is asked for this kind now; returns the time.
    pub(crate) fn note_source_asked(&self, kind: ItemKind) -> Timestamp {
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.replicas.of_mut(kind).asked_at = Some(now);
        now
    }

    /// Handles a failed request to the source; `failures` is the number of consecutive ones for
    /// this kind.
    pub fn note_source_failure(&self, kind: ItemKind, error: &SourceError, failures: u32) {
        if kind == ItemKind::Engines && *error == SourceError::NoAnswer {
            // Entries expire within three heartbeats, so waiting for a second failure would be too
            // late.
            self.note_engine_list_failure();
        }
        self.note_source_disruption(kind, failures);
    }

    fn note_engine_list_failure(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.engine_list_disrupted_at = Some(now);
        state.is_engine_list_failing = true;
    }

    /// Handles the last of `failures` consecutive failed requests to the source, whatever the
    /// error. A single failure is no disruption: it may be a watch that was closed in normal
    /// operation.
    pub fn note_source_disruption(&self, kind: ItemKind, failures: u32) {
        self.state_mut().is_source_reachable = false;
        if failures < MIN_DISRUPTION_FAILURES {
            return;
        }
        if kind == ItemKind::Engines {
            self.note_engine_list_failure();
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        // If the source answers other nodes, only this node's connection to it is impaired.
        if !state.steadiness.has_lasted(self.settings().entry_ttl, now) {
            state.deadlines.extend_from(now);
        }
    }

    /// The source doesn't show the newest configuration, so the one in force is not proven any more.
    fn note_lost_configuration(&self, why: LostConfiguration) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let replica = state.replicas.of_mut(ItemKind::Configuration);
        if !replica.is_unreadable() {
            let known = state.table.as_ref().map(|table| table.version());
            warn!(self.log(), "configuration_unproven"; "reason" => %why, "known" => known);
        }
        let replica = state.replicas.of_mut(ItemKind::Configuration);
        replica.note_unreadable(now);
    }

    /// Version of the configuration; `None` until one is known.
    pub fn configuration_version(&self) -> Option<u64> {
        self.state().table.as_ref().map(|table| table.version())
    }

    pub(super) fn adopt_table(&self, table: Rc<RoutingTable>) {
        let mut state = self.state_mut();
        let known = state.table.as_ref().map(|table| table.version());
        if known.is_some_and(|known| known >= table.version()) {
            return;
        }
        self.log_adopted(state.table.as_deref(), &table);
        self.metrics()
            .configuration_version
            .set(table.version() as i64);
        state.table = Some(table);
        self.configured.notify_waiters();
        // If another node has a still newer configuration, it reports that again.
        let replica = state.replicas.of_mut(ItemKind::Configuration);
        replica.note_caught_up();
    }

    fn log_adopted(&self, before: Option<&RoutingTable>, table: &RoutingTable) {
        let (version, requires_keys) = (table.version(), self.requires_keys(table));
        info!(self.log(), "configuration_adopted"; "version" => version,
            "before" => before.map(RoutingTable::version),
            "isolated_tenants" => %table.isolation_digest(), "requires_keys" => requires_keys);
        if before.is_some_and(RoutingTable::lists_tenants) && !table.lists_tenants() {
            warn!(self.log(), "tenants_no_longer_listed"; "version" => version,
                "requires_keys" => requires_keys);
        }
        if let Some(conflict) = table.key_conflict() {
            warn!(self.log(), "key_held_by_two_tenants"; "version" => version,
                "holder" => %conflict.holder, "other" => %conflict.other);
        }
    }

    pub(super) fn apply_engine_entry(&self, entry: EngineEntry) {
        let mut state = self.state_mut();
        let Some(mut entry) = state.departures.hold_back(entry) else {
            return;
        };
        if state.departures.is_leaving(&entry) {
            entry.state = EngineState::Draining;
        }
        if self.apply_incarnation(&mut state, &entry) == IncarnationOrder::Older {
            return;
        }
        state.unusable_entries.remove(&entry.name);
        let before = state
            .engines
            .get(&entry.name)
            .map(|known| known.entry.state);
        let now = self.clock().now();
        let is_new_state = before != Some(entry.state);
        if let Some(left_out) = is_new_state
            .then(|| self.engine_sampler().admit(now))
            .flatten()
        {
            info!(self.log(), "engine_listed"; "engine" => %entry.name, "pool" => %entry.pool,
                "address" => %entry.address, "zone" => %entry.zone,
                "draining" => entry.state == EngineState::Draining, "left_out" => left_out);
        }
        let identity = |entry: &EngineEntry| (entry.incarnation, entry.software.clone());
        let known = state.engines.get(&entry.name);
        let is_new = known.is_none_or(|known| identity(&known.entry) != identity(&entry));
        let name = entry.name.clone();
        state.departures.note_listed(&name);
        self.note_version_listed(&mut state, &entry.pool, &entry.software, now);
        state.engines.upsert(entry);
        if let Some(engine) = state.engines.get_mut(&name).filter(|_| is_new) {
            engine.listed_at = now;
        }
        self.note_listed_again(&mut state, &name, now);
        self.metrics().engines.set(state.engines.count() as i64);
    }

    /// Handles a removed entry. The engine is dropped at once, unless the source was disrupted,
    /// which removes entries of engines that still serve.
    pub(super) fn handle_entry_removed(&self, name: &BackEndName) {
        let now = self.clock().now();
        let grace = self.settings().unlisted_grace;
        let mut state = self.state_mut();
        state.departures.note_unlisted(name);
        state.unusable_entries.remove(name);
        let disruption_age = state.engine_list_disrupted_at.map(|at| now.since(at));
        if state.may_entries_return(grace, now)
            && let Some(engine) = state.engines.get_mut(name)
            && engine.is_in_service()
        {
            engine.is_unlisted = true;
            state.has_unlisted_engines = true;
            warn!(self.log(), "engine_unlisted"; "engine" => %name,
                "trouble_age_ms" => disruption_age.map(|age| age.as_millis() as u64));
            return;
        }
        drop(state);
        self.remove_engine(name);
    }

    /// Handles an entry that can't be parsed. Another writer has replaced the engine's entry, which
    /// is no expiry, so the engine is dropped at once even during a disruption of the source.
    fn handle_entry_unusable(&self, name: &BackEndName) {
        let is_new = self.state_mut().unusable_entries.insert(name.clone());
        if is_new {
            warn!(self.log(), "engine_unusable"; "engine" => %name);
        }
        self.remove_engine(name);
    }

    fn remove_engine(&self, name: &BackEndName) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if let Some(engine) = state.engines.remove(name) {
            if let Some(left_out) = self.engine_sampler().admit(now) {
                info!(self.log(), "engine_gone"; "engine" => %name, "left_out" => left_out);
            }
            let was_draining = engine.entry.state == EngineState::Draining;
            if !engine.is_unlisted {
                // An engine that the source lacked after it had come back may still be listed again.
                state.departures.note_gone(&engine.entry, was_draining, now);
            }
            if let Some(incarnation) = engine.entry.incarnation {
                state.incarnations.note_unlisted(name, incarnation, now);
            }
        }
        state.holders.forget_engine(name);
        state.reach.forget(name);
        drop(state);
        self.upstream().forget(name);
    }

    /// Drops engines whose entries were removed during a disruption and have not returned.
    pub fn remove_unlisted(&self) {
        self.admit_barred_engines();
        let now = self.clock().now();
        let grace = self.settings().unlisted_grace;
        let state = self.state();
        if !state.has_unlisted_engines || state.may_entries_return(grace, now) {
            return;
        }
        let unlisted = state.engines.iter().filter(|engine| engine.is_unlisted);
        let names: Vec<_> = unlisted.map(|engine| engine.entry.name.clone()).collect();
        drop(state);
        self.state_mut().has_unlisted_engines = false;
        for name in names {
            self.handle_entry_removed(&name);
        }
    }

    /// Whether any engine that is not leaving has older weights than published.
    pub fn has_outdated_engines(&self) -> bool {
        let mut state = self.state_mut();
        let state = &mut *state;
        let outdated = &mut state.outdated_engines;
        outdated.is_any(&state.engines, &state.deadlines)
    }

    /// Address of an engine.
    pub fn address_of(&self, engine: &BackEndName) -> Option<SocketAddr> {
        let state = self.state();
        state.engines.get(engine).map(|known| known.entry.address)
    }
}

/// The changes that a list makes to the known engines.
fn list_changes(engines: &EngineTable, items: &[Item]) -> Vec<ItemChange> {
    let listed = items.iter().filter_map(entry_name).collect();
    let gone = engines.names_outside(&listed);
    let gone = gone
        .into_iter()
        .map(|name| ItemChange::Gone(name.to_string()));
    let is_changed = |item: &&Item| match item {
        Item::Engine(entry) => {
            let known = engines.get(&entry.name);
            known.is_none_or(|known| known.entry != *entry)
        }
        Item::Unusable(name) => engines.get(name).is_some(),
        Item::Configuration(_) | Item::UnreadableConfiguration | Item::Weights(_) => false,
    };
    let changed = items.iter().filter(is_changed);
    let changed = changed.cloned().map(ItemChange::Present);
    gone.chain(changed).collect()
}

/// Name of the engine of a list item.
pub(super) fn entry_name(item: &Item) -> Option<&BackEndName> {
    match item {
        Item::Engine(entry) => Some(&entry.name),
        Item::Unusable(name) => Some(name),
        Item::Configuration(_) | Item::UnreadableConfiguration | Item::Weights(_) => None,
    }
}
