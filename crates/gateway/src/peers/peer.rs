//! Another node as this one knows it.

use std::cmp::Reverse;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;

use super::{Capacity, EngineLoadUpdate, NodeIdentity, NodeState, ReachAnswer};
use crate::placement::{PrefillDemandUpdate, SourceDelayUpdate};
use crate::quotas::UsageUpdate;
use crate::shedding::PoolLoadUpdate;
use crate::tunnel::TunnelService;

/// Another node as this one knows it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who it is.
    pub identity: NodeIdentity,
    /// When its process started.
    pub started_at: Timestamp,
    /// Whether it serves.
    pub state: NodeState,
    /// Whether it gives orders.
    pub gives_orders: bool,
    /// Whether it reached the store of leases lately.
    pub reaches_store: bool,
    /// Which engines it reached when it was last asked by the holder of the order lease.
    pub reach_answer: Option<ReachAnswer>,
    /// Whether it passes on connections to engines.
    pub tunnels: Option<TunnelService>,
    /// How many other nodes it said that it has heard of.
    pub known_nodes: usize,
    /// Whether it stands in the own zone.
    pub is_near: bool,
    /// Whether it stands in another region.
    pub is_remote: bool,
    /// Number of its last message that came.
    pub sequence: u64,
    /// Number of its newest message that this or another node has.
    pub newest_sequence: u64,
    /// When it was last heard, or heard of.
    pub heard_at: Timestamp,
    /// When its last message came.
    pub told_at: Timestamp,
    /// Its work at engines.
    pub loads: Vec<EngineLoadUpdate>,
    /// What tenants use there.
    pub usages: Vec<UsageUpdate>,
    /// What it brings pools to read.
    pub reading: Vec<PrefillDemandUpdate>,
    /// Its load of pools that may be short of capacity.
    pub pool_loads: Vec<PoolLoadUpdate>,
    /// Delays of the KV stores as it has measured them.
    pub source_delays: Vec<SourceDelayUpdate>,
}

impl Peer {
    /// Whether it was heard, or heard of, within this time.
    pub fn is_heard(&self, within: Duration, now: Timestamp) -> bool {
        now.since(self.heard_at) < within
    }

    /// Whether it comes before a node of this rank in reading order, and stays.
    pub fn precedes(&self, rank: (Reverse<Capacity>, &NodeName)) -> bool {
        self.state != NodeState::Leaving && self.identity.reading_rank() < rank
    }
}
