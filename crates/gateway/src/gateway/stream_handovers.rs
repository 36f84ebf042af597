//! Hands records of streams to the node that writes them to the store; see docs/design/continuations.md.

use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{Entry, Shard, StreamId, Writer};
use slog::{info, warn};

use super::stream_records::name_hash;
use super::version_records::WRITER_DISCOVERY_TIME;
use super::{Gateway, GatewayState};
use crate::continuation::{RecordBatches, Records, Taken};
use crate::peers::{Datagram, MemberAddress};

impl Gateway {
    /// Takes over the record of a stream that is to be stored. Returns the node that it has to be sent to, unless this
    /// node writes it.
    pub(super) fn store_stream(
        &self,
        state: &mut GatewayState,
        stream: StreamId,
        entry: &Entry,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        if !state.continuations.versions.has_store {
            return None;
        }
        let receiver = match self.shard_writer(state, stream.shard(), now) {
            Writer::Own => {
                let journals = &mut state.continuations.journals;
                let journal = journals.entry(stream.shard()).or_default();
                journal.note(stream, entry.clone(), now);
                self.stream_records_due.notify_waiters();
                return None;
            }
            Writer::Other(receiver) => Some(receiver),
            Writer::Undecided => None,
        };
        let handovers = &mut state.continuations.handovers;
        let has_room = handovers.begin(stream, entry.clone(), receiver, now);
        if !has_room && let Some(left_out) = self.continuation_sampler().admit(now) {
            warn!(self.log(), "stream_not_handed_over"; "stream" => %stream,
                "waiting" => handovers.len(), "left_out" => left_out);
        }
        receiver
    }

    /// Takes records that the node at `from` hands over, and passes on those that another node writes.
    pub(super) fn take_streams(&self, records: &Records, from: SocketAddr) {
        if !self.state().continuations.versions.has_store {
            return;
        }
        let taken = Taken {
            streams: records.streams.clone(),
        };
        self.send_datagram(&Datagram::StreamsTaken(taken), &[from]);
        let entry = Entry {
            pool: records.pool.clone(),
            software: records.software.clone(),
        };
        let streams = records.streams.iter();
        self.store_streams(streams.map(|stream| (*stream, entry.clone())));
    }

    /// Handles that the node at `from` has taken records.
    pub fn apply_streams_taken(&self, taken: &Taken, from: SocketAddr) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let handovers = &mut state.continuations.handovers;
        handovers.confirm(from, &taken.streams, now);
    }

    /// Hands over again what no node has confirmed in time.
    pub(crate) fn hand_over_again(&self) {
        let now = self.clock().now();
        let overdue = {
            let mut state = self.state_mut();
            state.continuations.handovers.take_overdue(now)
        };
        if overdue.is_empty() {
            return;
        }
        if let Some(left_out) = self.continuation_sampler().admit(now) {
            info!(self.log(), "streams_unconfirmed"; "streams" => overdue.len(),
                "left_out" => left_out);
        }
        self.store_streams(overdue);
    }

    fn store_streams(&self, records: impl IntoIterator<Item = (StreamId, Entry)>) {
        let now = self.clock().now();
        let mut batches = RecordBatches::default();
        let mut state = self.state_mut();
        for (stream, entry) in records {
            if let Some(receiver) = self.store_stream(&mut state, stream, &entry, now) {
                batches.add(receiver, stream, &entry, true);
            }
        }
        drop(state);
        self.send_records(batches);
    }

    /// Sends records to those that they are for.
    pub(super) fn send_records(&self, batches: RecordBatches) {
        for (receiver, records) in batches.into_datagrams() {
            self.send_datagram(&Datagram::StreamRecords(records), &[receiver]);
        }
    }

    /// The node that writes a shard's records to the store, as far as this one knows.
    fn shard_writer(
        &self,
        state: &GatewayState,
        shard: Shard,
        now: Timestamp,
    ) -> Writer<SocketAddr> {
        let peers = state.peers.alive(now);
        let peers = peers.map(|peer| (name_hash(peer), peer.identity.peer_address));
        let is_starting =
            self.uptime() < WRITER_DISCOVERY_TIME && !state.peers.has_heard_all_known();
        let handovers = &state.continuations.handovers;
        handovers.writer(shard, self.own_name_hash(), peers, is_starting, now)
    }
}

/// The writer that is named to other nodes, while nodes don't know each other yet. It is one that this node hears itself:
/// what others name is not passed on, or a node that has gone would be named for good.
pub(super) fn writer_to_name(
    state: &GatewayState,
    address: SocketAddr,
    now: Timestamp,
) -> Option<MemberAddress> {
    if state.peers.has_heard_all_known() {
        return None;
    }
    let name = &state.peers.at(address)?.identity.name;
    state.peers.is_alive(name, now).then(|| MemberAddress {
        name: name.clone(),
        address,
    })
}
