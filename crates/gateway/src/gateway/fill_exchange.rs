//! Exchanges pieces of the first list of engines with other nodes; see docs/design/first-list.md.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;
use ryerouter_core::Timestamp;
use slog::debug;

use super::list_fill::Slice;
use super::list_transfer::MAX_ENTRIES_PER_PIECE;
use super::source_sync::SOURCE_TIMEOUT;
use super::{Gateway, GatewayState};
use crate::engines::Engine;
use crate::peers::NodeIdentity;
use crate::source::{Item, ItemKind};
use crate::sync::{EntryGroup, HolderPreference, ListFetch, ListPiece};

impl Gateway {
    /// The next request for a piece of the first list, and its receiver.
    pub(super) fn next_fill_fetch(&self, random: &mut impl Rng) -> Option<(SocketAddr, ListFetch)> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let is_wanted = match state.list_fill.base() {
            None => self.uptime() >= SOURCE_TIMEOUT,
            Some(_) => state.peers.is_large() || !state.is_source_reachable,
        };
        if let Some(silent) = state.list_fill.take_unanswered(now) {
            debug!(self.log(), "list_piece_unanswered"; "from" => %silent,
                "fruitless" => state.list_fill.fruitless());
        }
        if !is_wanted || !state.list_fill.is_fetch_due(now) {
            return None;
        }
        let holder = state.list_fill.holder();
        let holder = holder.or_else(|| self.choose_holder(&state, now, random))?;
        debug!(self.log(), "list_piece_asked"; "from" => %holder,
            "preference" => ?state.list_fill.preference(),
            "after" => state.list_fill.after().map(|name| name.to_string()));
        let before = match state.list_fill.pieces() {
            0 => node_before(&state, holder, now, random),
            _ => None,
        };
        Some((holder, state.list_fill.fetch_from(holder, before, now)))
    }

    /// The node to fetch the next piece from: the parent or, if that is of no use, in turn one that
    /// serves in this zone, one that serves anywhere, and the parent again. `None` for the first of
    /// all nodes while the source answers it.
    fn choose_holder(
        &self,
        state: &GatewayState,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let parent = self.list_parent(state, now);
        if parent.is_none() && state.list_fill.base().is_some() && state.is_source_reachable {
            return None;
        }
        let near = |random: &mut _| {
            let near = state.peers.ready(now).filter(|peer| peer.is_near);
            near.choose(random)
        };
        let any = |random: &mut _| state.peers.ready(now).choose(random);
        let drawn = match state.list_fill.preference() {
            HolderPreference::Parent if parent.is_some() => return parent,
            HolderPreference::Near => near(random).or_else(|| any(random)),
            HolderPreference::Parent | HolderPreference::Any => any(random),
        };
        drawn.map(|peer| peer.identity.peer_address).or(parent)
    }

    /// The node from which this one fetches the list; `None` for the first of all nodes. It is drawn
    /// from the first half of those that come before this one in reading order, in its zone if there
    /// are any; a node that knows none relies on what others tell. The tree that results is as deep as
    /// the logarithm of the number of nodes, and a node has about as many children, also while the
    /// nodes know only parts of the fleet.
    pub(super) fn list_parent(&self, state: &GatewayState, now: Timestamp) -> Option<SocketAddr> {
        let own = self.settings().identity.reading_rank();
        let before = state.peers.alive(now).filter(|peer| peer.precedes(own));
        let (near, far): (Vec<_>, Vec<_>) = before.partition(|peer| peer.is_near);
        let mut before = if near.is_empty() { far } else { near };
        before.sort_unstable_by_key(|peer| peer.identity.reading_rank());
        let first_half = before.len().div_ceil(2);
        let index = (self.drawn_share() * first_half as f64) as usize;
        let last = first_half.checked_sub(1);
        let parent = last.and_then(|last| before.get(index.min(last)));
        let parent = parent.map(|parent| &parent.identity);
        let parent = parent.or_else(|| state.list_fill.predecessor())?;
        Some(parent.peer_address)
    }

    /// Records the node that another one says comes before this one in reading order.
    fn note_predecessor(&self, told: &NodeIdentity) {
        let own = self.settings().identity.reading_rank();
        if told.reading_rank() < own {
            let mut state = self.state_mut();
            state.list_fill.note_predecessor(told.clone());
        }
    }

    /// Answers another node's request while this node does not have the whole list.
    pub(super) fn answer_fill_fetch(&self, fetch: &ListFetch) -> Option<ListPiece> {
        if !fetch.accepts_partial {
            return None;
        }
        if let Some(before) = &fetch.before {
            self.note_predecessor(before);
        }
        let state = self.state();
        let known_until = state.list_fill.after();
        let is_known =
            |engine: &&Engine| known_until.is_some_and(|last| engine.entry.name <= *last);
        let is_ahead = known_until > fetch.after.as_ref();
        let revision = state.replicas.of(ItemKind::Engines).revision;
        let revision = revision.unwrap_or_default();
        let mut piece = ListPiece {
            after: fetch.after.clone(),
            revision: revision.number,
            era: (revision.era > 0).then_some(revision.era),
            groups: Vec::new(),
            unusable: Vec::new(),
            next: fetch.after.clone(),
            is_waiting: !is_ahead,
        };
        if is_ahead {
            let later = state.engines.after(fetch.after.as_ref());
            let mut later = later
                .take_while(is_known)
                .filter(|engine| !engine.is_unlisted);
            let entries = later.by_ref().take(MAX_ENTRIES_PER_PIECE);
            let entries: Vec<_> = entries.map(|engine| &engine.entry).collect();
            let is_cut = later.next().is_some();
            let last = entries.last().map(|entry| &entry.name).filter(|_| is_cut);
            piece.next = last.or(known_until).cloned();
            piece.groups = EntryGroup::of(entries);
        }
        Some(piece)
    }

    /// Applies a piece of the first list; returns the next request.
    pub(super) fn apply_fill_piece(
        &self,
        from: SocketAddr,
        piece: ListPiece,
        random: &mut impl Rng,
    ) -> Option<(SocketAddr, ListFetch)> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if !state.list_fill.is_awaited(from, piece.after.as_ref()) {
            return None;
        }
        if piece.is_waiting {
            state.list_fill.note_waiting(now);
            debug!(self.log(), "list_piece_not_there"; "from" => %from,
                "fruitless" => state.list_fill.fruitless());
            return None;
        }
        let entries = piece.groups.into_iter().flat_map(EntryGroup::into_entries);
        let mut items: Vec<_> = entries.map(Item::Engine).collect();
        let is_full = items.len() >= MAX_ENTRIES_PER_PIECE;
        let revision = state.told_revision(piece.revision, piece.era)?;
        state.list_fill.note_handed(is_full, now);
        drop(state);
        items.extend(piece.unusable.into_iter().map(Item::Unusable));
        self.apply_slice(Slice {
            items,
            revision,
            next: piece.next,
        });
        self.update_readiness();
        self.next_list_fetch(random)
    }
}

/// A node that comes before `holder` in reading order, drawn at random.
fn node_before(
    state: &GatewayState,
    holder: SocketAddr,
    now: Timestamp,
    random: &mut impl Rng,
) -> Option<NodeIdentity> {
    let holder = state.peers.at(holder)?.identity.reading_rank();
    let before = state.peers.alive(now);
    let before = before.filter(|peer| peer.precedes(holder));
    Some(before.choose(random)?.identity.clone())
}
