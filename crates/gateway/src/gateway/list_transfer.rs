//! Transfers the engine list between nodes; see docs/design/fleet.md.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;
use slog::info;

use super::Gateway;
use crate::engines::Engine;
use crate::source::ItemKind;
use crate::sync::{EntryGroup, ListFetch, ListPiece};

/// Maximum number of entries in a piece. At some 50 bytes each they take half of a datagram, and a
/// list of ten thousand is sent in twenty pieces.
pub(super) const MAX_ENTRIES_PER_PIECE: usize = 512;

impl Gateway {
    /// The next piece to request and the node to ask, while this node does not have the whole list
    /// or the source does not answer it.
    pub fn next_list_fetch(&self, random: &mut impl Rng) -> Option<(SocketAddr, ListFetch)> {
        if !self.has_engine_list() {
            return self.next_fill_fetch(random);
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        if !self.wants_list(&state, now) {
            state.list_transfer.stop();
            return None;
        }
        let state = &mut *state;
        let peers = &state.peers;
        let draw = || {
            let near = peers.ready(now).filter(|peer| peer.is_near);
            let drawn = near.choose(random);
            let drawn = drawn.or_else(|| peers.ready(now).choose(random))?;
            Some(drawn.identity.peer_address)
        };
        state.list_transfer.next(now, draw)
    }

    /// Answers another node's request for a piece; `None` until this node has the list, or a part of
    /// it if that is accepted.
    pub fn answer_list_fetch(&self, fetch: &ListFetch) -> Option<ListPiece> {
        if !self.has_engine_list() {
            return self.answer_fill_fetch(fetch);
        }
        let state = self.state();
        let revision = state.replicas.of(ItemKind::Engines).revision?;
        let is_listed = |engine: &&Engine| !engine.is_unlisted;
        let later = state.engines.after(fetch.after.as_ref());
        let mut later = later.filter(is_listed);
        let entries: Vec<_> = later
            .by_ref()
            .take(MAX_ENTRIES_PER_PIECE)
            .map(|engine| &engine.entry)
            .collect();
        let next = later.next().and(entries.last());
        let next = next.map(|entry| entry.name.clone());
        Some(ListPiece {
            after: fetch.after.clone(),
            revision: revision.number,
            era: (revision.era > 0).then_some(revision.era),
            unusable: match fetch.after {
                None => state.unusable_entries.iter().cloned().collect(),
                Some(_) => Vec::new(),
            },
            groups: EntryGroup::of(entries),
            next,
            is_waiting: false,
        })
    }

    /// Applies a piece; returns the next one to request.
    pub fn apply_list_piece(
        &self,
        from: SocketAddr,
        piece: ListPiece,
        random: &mut impl Rng,
    ) -> Option<(SocketAddr, ListFetch)> {
        if !self.has_engine_list() {
            return self.apply_fill_piece(from, piece, random);
        }
        let revision = self.state().told_revision(piece.revision, piece.era)?;
        let whole = self.state_mut().list_transfer.take(from, piece, revision);
        let Some(whole) = whole else {
            return self.next_list_fetch(random);
        };
        let known = self.state().replicas.of(ItemKind::Engines).revision;
        if known < Some(whole.revision) {
            info!(self.log(), "engine_list_handed_over"; "revision" => %whole.revision,
                "before" => known.map(|known| known.to_string()), "engines" => whole.entries.len(), "from" => %from);
            self.apply_peer_list(&whole.entries, &whole.unusable, whole.revision);
            self.update_readiness();
        }
        None
    }
}
