//! What a node remembers of streams and their versions.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use ryerouter_core::continuation::{Handovers, Journal, Register, Shard, VersionHistory};

use super::{HeardZones, Lookup, ShardReading, StoreCalls, VersionTable};

/// What a node remembers of streams and their versions.
#[derive(Debug, Default)]
pub struct Continuations {
    /// Versions of the streams that this node relayed, or holds for others.
    pub register: Register,
    /// Versions that serve the pools.
    pub history: VersionHistory,
    /// Questions that wait for answers, by number.
    pub lookups: HashMap<u64, Rc<Lookup>>,
    /// Zones that this node has to hear.
    pub zones: HeardZones,
    /// The versions that the store holds.
    pub versions: VersionTable,
    /// Records that other nodes write to the store, until they have confirmed them.
    pub handovers: Handovers<SocketAddr>,
    /// Records that this node writes to the store.
    pub journals: BTreeMap<Shard, Journal>,
    /// Readings of the store's records.
    pub readings: BTreeMap<Shard, ShardReading>,
    /// Calls to the store so far.
    pub calls: StoreCalls,
}
