//! Transfers the configuration to nodes that the source does not answer; see docs/design/large.md.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::NodeName;
use slog::{info, warn};

use super::source_sync::SOURCE_TIMEOUT;
use super::{Gateway, GatewayState};
use crate::source::ItemKind;
use crate::sync::{Chunk, Fetch, Offer};

/// Time after which a chunk that has not arrived is requested again; nodes answer within
/// milliseconds.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(200);

impl Gateway {
    /// The next chunk to request and the node to ask, while another node has a newer configuration
    /// and the source does not answer this one, or answers late.
    pub fn next_configuration_fetch(&self) -> Option<(SocketAddr, Fetch)> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let replica = state.replicas.of(ItemKind::Configuration);
        let is_source_late = replica.is_behind_for(SOURCE_TIMEOUT, now);
        // In a small deployment a node that has just started asks the source first.
        let is_starting = state.table.is_none() && !state.peers.is_large();
        let is_source_asked = state.is_source_reachable || is_starting;
        if !replica.is_behind() || (is_source_asked && !is_source_late) {
            return None;
        }
        let offer = state.transfer.offer?;
        let asked_at = state.transfer.asked_at;
        if asked_at.is_some_and(|at| now.since(at) < CHUNK_TIMEOUT) {
            return None;
        }
        state.transfer.asked_at = Some(now);
        Some((offer.address, state.transfer.next()))
    }

    /// Answers another node's request for a chunk.
    pub fn answer_configuration_fetch(&self, fetch: &Fetch) -> Option<Chunk> {
        let state = self.state();
        let table = state.table.as_ref()?;
        let document = table.document()?;
        Some(Chunk::of(document, table.version(), fetch))
    }

    /// Applies a chunk; returns the next one to request.
    pub fn apply_configuration_chunk(&self, chunk: Chunk) -> Option<(SocketAddr, Fetch)> {
        let version = chunk.version;
        let mut state = self.state_mut();
        let own = state.table.as_ref().map(|table| table.version());
        if own >= Some(version) {
            return None;
        }
        let whole = state.transfer.take(chunk);
        state.transfer.asked_at = None;
        drop(state);
        let Some(text) = whole else {
            return self.next_configuration_fetch();
        };
        match self.dialect().read_configuration(&text) {
            Ok(table) => {
                info!(self.log(), "configuration_handed_over"; "version" => version,
                    "before" => own, "bytes" => text.len());
                self.adopt_table(Rc::new(table));
                self.update_readiness();
            }
            Err(error) => warn!(self.log(), "configuration_handed_over_unreadable";
                "version" => version, "error" => %error),
        }
        None
    }

    /// Records that the reader which this node follows has a newer configuration.
    pub(super) fn note_reader_ahead(
        &self,
        state: &mut GatewayState,
        reader: &NodeName,
        version: u64,
    ) {
        if let Some(address) = state.peers.address_of(reader) {
            state.transfer.note_offer(Offer { version, address });
        }
    }
}
