//! Transfers the configuration to nodes that the source does not answer; see docs/design/large.md.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;
use slog::{info, warn};

use super::restored_source::RESTORED_TIME;
use super::source_sync::SOURCE_TIMEOUT;
use super::{Gateway, GatewayState, PEER_DISCOVERY_TIME};
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
        let may_ask_source = is_source_asked && !is_source_late;
        let is_wanted = replica.is_behind() && !may_ask_source;
        if !is_wanted && !self.has_newer_offer(&state, now) {
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

    /// Whether another node has a newer configuration than this one, which the source may lack: it has come back from a
    /// copy, perhaps before this node started.
    pub(super) fn has_newer_offer(&self, state: &GatewayState, now: Timestamp) -> bool {
        let is_new = state.source_era > 0 && self.uptime() < PEER_DISCOVERY_TIME;
        let may_be_restored = is_new || state.is_restored_within(RESTORED_TIME, now);
        let own = state.table.as_ref().map(|table| table.version());
        let offered = state.transfer.offer.map(|offer| offer.version);
        may_be_restored && own.is_some() && own < offered
    }

    /// Whether this node has just started with a configuration that is older than another node's. Callers' keys may have
    /// been taken away since.
    pub(crate) fn starts_with_old_configuration(&self) -> bool {
        let now = self.clock().now();
        self.uptime() < PEER_DISCOVERY_TIME && self.has_newer_offer(&self.state(), now)
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
