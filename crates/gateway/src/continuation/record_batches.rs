//! Records for other nodes, gathered into datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ryerouter_core::continuation::{Entry, StreamId};

use super::Records;

/// Maximum number of streams in one datagram.
const MAX_RECORDS_PER_DATAGRAM: usize = 256;

/// Records for other nodes, gathered into datagrams.
#[derive(Debug, Default)]
pub struct RecordBatches {
    /// Streams by receiver, pool and version, and whether the receiver stores them.
    batches: BTreeMap<(SocketAddr, Entry, bool), Vec<StreamId>>,
}

impl RecordBatches {
    /// Adds the record of a stream for a node.
    pub fn add(
        &mut self,
        receiver: SocketAddr,
        stream: StreamId,
        entry: &Entry,
        is_to_be_stored: bool,
    ) {
        let key = (receiver, entry.clone(), is_to_be_stored);
        self.batches.entry(key).or_default().push(stream);
    }

    /// The datagrams, each with its receiver.
    pub fn into_datagrams(self) -> impl Iterator<Item = (SocketAddr, Records)> {
        let batches = self.batches.into_iter();
        batches.flat_map(|((receiver, entry, is_to_be_stored), streams)| {
            let chunks: Vec<_> = streams
                .chunks(MAX_RECORDS_PER_DATAGRAM)
                .map(<[_]>::to_vec)
                .collect();
            chunks.into_iter().map(move |streams| {
                let records = Records {
                    pool: entry.pool.clone(),
                    software: entry.software.clone(),
                    streams,
                    is_to_be_stored,
                    writer: None,
                };
                (receiver, records)
            })
        })
    }
}
