//! Takes in the first list of engines piece by piece, from the source and from other nodes; see
//! docs/design/first-list.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::source_items::entry_name;
use super::{Gateway, GatewayState, Need, SIZE_DISCOVERY_TIME};
use crate::source::{Item, ItemBatch, ItemChange, ItemKind, ItemPage, Revision};

/// Maximum number of pages that a node reads because a pool has no known engine.
const MAX_PAGES_FOR_POOLS: usize = 4;
/// Time for which a node waits for others to hand the list on before it reads on itself. Each node
/// hands on a piece within some hundred milliseconds.
const MIN_HANDOVER_PATIENCE: Duration = Duration::from_millis(2_500);
/// Time that the number of nodes which wait no longer takes to double, so that few of them read
/// the source for all others.
const READERS_DOUBLING_TIME: Duration = Duration::from_millis(1_250);
/// Time for which a node that knows of none before it waits for others to tell it of one.
const FIRST_NODE_PATIENCE: Duration = Duration::from_millis(300);
/// A node whose list is not complete serves after this time even if some pool has no known engine.
const MAX_UNREADY_TIME: Duration = Duration::from_secs(2);

/// Consecutive entries of the list.
pub(super) struct Slice {
    pub(super) items: Vec<Item>,
    /// Revision of the source at which they were current.
    pub(super) revision: Revision,
    /// Where the next slice begins; `None` at the end of the list.
    pub(super) next: Option<BackEndName>,
}

impl Gateway {
    /// Whether the whole list of engines is known.
    pub fn has_engine_list(&self) -> bool {
        self.state().has_engine_list
    }

    /// Discards the progress of the first list, after the source has lost the changes since it was
    /// begun.
    pub(crate) fn restart_list_fill(&self) {
        let mut state = self.state_mut();
        state.list_fill = Default::default();
        *state.replicas.of_mut(ItemKind::Engines) = Default::default();
    }

    /// Name after which the next page of the first list begins.
    pub(crate) fn list_fill_position(&self) -> Option<BackEndName> {
        self.state().list_fill.after().cloned()
    }

    /// Applies a page of the first list that the source returned for a request sent at `asked_at`.
    /// A page that doesn't begin at the current position is ignored.
    pub(crate) fn apply_list_page(
        &self,
        after: Option<&BackEndName>,
        page: ItemPage,
        asked_at: Timestamp,
    ) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.has_engine_list || state.list_fill.after() != after {
            return;
        }
        state.list_fill.count_page();
        let is_late = now.since(asked_at) >= self.late_replica_age();
        if is_late && state.peers.alive(now).next().is_some() {
            state.replicas.of_mut(ItemKind::Engines).note_behind(now);
        }
        drop(state);
        self.apply_slice(Slice {
            items: page.items,
            revision: page.revision,
            next: page.next_after.map(BackEndName::new),
        });
        let mut state = self.state_mut();
        let replica = state.replicas.of_mut(ItemKind::Engines);
        replica.read_at.get_or_insert(asked_at);
        drop(state);
        self.note_engine_list_read(ItemKind::Engines);
        self.note_source_answer(ItemKind::Engines, None);
    }

    /// Whether this node should read the next page from the source now. The first of all
    /// nodes reads the list, the others only what they need to serve until it is handed on to them.
    pub(crate) fn should_read_list_page(&self) -> bool {
        let now = self.clock().now();
        let state = self.state();
        let fill = &state.list_fill;
        if state.has_engine_list || fill.base().is_none() {
            return false;
        }
        if fill.pages() < MAX_PAGES_FOR_POOLS && self.lacking_pool(&state).is_some() {
            return true;
        }
        match state.peers.is_large() {
            true => fill.is_stalled(self.handover_patience(&state), now),
            false => self.uptime() >= SIZE_DISCOVERY_TIME,
        }
    }

    /// Applies the entries that come next.
    pub(super) fn apply_slice(&self, slice: Slice) {
        let base = self.state().list_fill.base();
        match base {
            None => self.begin_list(&slice),
            Some(base) if slice.revision < base => {
                let now = self.clock().now();
                self.state_mut().step_list_back(slice.revision, now);
            }
            Some(_) => {}
        }
        let changes = {
            let state = self.state();
            let is_current = |item: &Item| {
                let name = entry_name(item);
                name.is_some_and(|name| !state.list_fill.is_superseded(name, slice.revision))
            };
            let items = slice.items.into_iter().filter(is_current);
            items.map(ItemChange::Present).collect()
        };
        self.apply(ItemKind::Engines, changes, None);
        match slice.next {
            Some(next) => self.state_mut().list_fill.advance(next),
            None => self.complete_list_fill(),
        }
    }

    /// Begins the first list with its first entries. Engines from an earlier attempt are dropped,
    /// since their changes have not been followed.
    fn begin_list(&self, slice: &Slice) {
        let now = self.clock().now();
        let listed = slice.items.iter().filter_map(entry_name).collect();
        let gone = self.state().engines.names_outside(&listed);
        for name in gone {
            self.handle_entry_removed(&name);
        }
        let mut state = self.state_mut();
        state.unusable_entries.clear();
        self.note_era(&mut state, ItemKind::Engines, slice.revision.era);
        state.list_fill.begin(slice.revision, now);
        state.engine_log.restart(slice.revision);
        let replica = state.replicas.of_mut(ItemKind::Engines);
        replica.advance(slice.revision, now);
        replica.changed_until = Some(slice.revision);
        replica.is_history_lost = false;
        info!(self.log(), "engine_list_begun"; "revision" => %slice.revision,
            "items" => slice.items.len(), "pages" => state.list_fill.pages(),
            "pieces" => state.list_fill.pieces(), "uptime_ms" => self.uptime().as_millis() as u64);
    }

    fn complete_list_fill(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.has_engine_list = true;
        let fill = std::mem::take(&mut state.list_fill);
        let taken = fill.begun_at().map(|at| now.since(at));
        info!(self.log(), "engine_list_complete"; "engines" => state.engines.count(),
            "pages" => fill.pages(), "pieces" => fill.pieces(),
            "taken_ms" => taken.map(|taken| taken.as_millis() as u64));
    }

    /// What a node lacks of the list before it serves.
    pub(super) fn needed_engines(&self, state: &GatewayState) -> Option<Need> {
        if state.has_engine_list {
            return None;
        }
        if state.list_fill.base().is_none() {
            return Some(Need::FirstEngines);
        }
        let is_overdue = self.uptime() >= MAX_UNREADY_TIME && state.engines.count() > 0;
        let lacking = self.lacking_pool(state).filter(|_| !is_overdue);
        lacking.cloned().map(Need::Pool)
    }

    /// A pool that a route names and of which no engine is known.
    fn lacking_pool<'a>(&self, state: &'a GatewayState) -> Option<&'a PoolName> {
        let mut pools = state.table.as_ref()?.routed_pools();
        pools.find(|pool| state.engines.of_pool(pool).next().is_none())
    }

    /// Time for which this node waits for others to hand the list on. It grows with the logarithm of
    /// this node's place in reading order, so that not all nodes read the source at the same time.
    fn handover_patience(&self, state: &GatewayState) -> Duration {
        let now = self.clock().now();
        if self.list_parent(state, now).is_none() {
            return FIRST_NODE_PATIENCE;
        }
        let own = self.settings().identity.reading_rank();
        let before = state.peers.alive(now).filter(|peer| peer.precedes(own));
        let place = before.count() as f64;
        let doublings = (1.0 + place).log2() + self.drawn_share();
        MIN_HANDOVER_PATIENCE + READERS_DOUBLING_TIME.mul_f64(doublings)
    }

    /// A number from 0 to 1, evenly distributed over nodes.
    pub(super) fn drawn_share(&self) -> f64 {
        let incarnation = self.settings().identity.incarnation;
        xxh3_64(&incarnation.to_le_bytes()) as f64 / u64::MAX as f64
    }
}

impl GatewayState {
    /// Records followed changes, which are newer than the entries of slices yet to come.
    pub(super) fn note_changes_during_fill(&mut self, batch: &ItemBatch) {
        if self.has_engine_list || self.list_fill.base().is_none() {
            return;
        }
        for change in &batch.changes {
            let name = match change {
                ItemChange::Present(item) => entry_name(item).cloned(),
                ItemChange::Gone(name) => Some(BackEndName::new(name)),
            };
            if let Some(name) = name {
                self.list_fill.note_change(name, batch.revision);
            }
        }
    }

    /// Lets this node follow the changes of engines from an earlier revision on, that of entries
    /// which another node has handed on.
    fn step_list_back(&mut self, revision: Revision, now: Timestamp) {
        self.list_fill.begin(revision, now);
        self.engine_log.restart(revision);
        let replica = self.replicas.of_mut(ItemKind::Engines);
        replica.step_back(revision, now);
        self.sync.forget_question();
    }
}
