//! What nodes tell each other.

use serde::{Deserialize, Serialize};

use super::readable::{readable, readable_or_default};
use super::{
    ConfigurationFreshness, DepartureUpdate, EngineIncarnationUpdate, EngineLoadUpdate,
    HandoverUpdate, HolderUpdate, KvStoreUpdate, LeaseUpdate, MemberAddress, MessageEcho,
    NodeIdentity, NodeState, Publication, ReachAnswer, ReachQuestion, ReachUpdate,
    ReplicaFreshness, SignalUpdate, WeightsUpdate,
};
use crate::continuation::ServedVersions;
use crate::placement::{PrefillDemandUpdate, SourceDelayUpdate};
use crate::poison::PoisonUpdate;
use crate::quotas::UsageUpdate;
use crate::release::{EvidenceUpdate, ReleaseUpdate};
use crate::shedding::PoolLoadUpdate;
use crate::tunnel::TunnelService;

/// One datagram between nodes: a JSON line, with short keys, since bytes between zones are dear.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    #[serde(rename = "f")]
    pub from: NodeIdentity,
    /// Rises with each message of one life of the sender.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// How long the sender's process has been running, in milliseconds.
    #[serde(default)]
    #[serde(rename = "u")]
    pub uptime_ms: u64,
    /// Whether the sender serves.
    #[serde(rename = "t", deserialize_with = "readable_or_default")]
    pub state: NodeState,
    /// Whether the sender holds the lease of orders.
    #[serde(default)]
    #[serde(rename = "g")]
    pub gives_orders: bool,
    /// Whether the sender reached the store of leases lately.
    #[serde(default)]
    #[serde(rename = "r")]
    pub reaches_store: bool,
    /// The lease of orders, once the sender has seen it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "l")]
    pub lease: Option<LeaseUpdate>,
    /// When the sender's configuration was current.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "p")]
    pub proof: Option<ConfigurationFreshness>,
    /// How long ago the newest question to the source was asked that was answered at once, as far as
    /// the sender knows, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "a")]
    pub steady_age_ms: Option<u64>,
    /// When the sender's copies of other items were current.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "c", deserialize_with = "readable")]
    pub copies: Vec<ReplicaFreshness>,
    /// Era of the source that the revisions of this message belong to; `None` from builds that know no eras.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "E")]
    pub era: Option<u64>,
    /// Engines that have left, while a copy of the source may say otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "G", deserialize_with = "readable")]
    pub departures: Vec<DepartureUpdate>,
    /// How many other nodes the sender has heard of; a node that was just started takes the size of
    /// its deployment from this.
    #[serde(rename = "s", default)]
    pub known_nodes: usize,
    /// The last messages that the sender has of others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "e")]
    pub echoes: Vec<MessageEcho>,
    /// Other nodes that the sender knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "m")]
    pub members: Vec<MemberAddress>,
    /// Weights that were named lately, told with the introduction.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "n")]
    pub named: Vec<Publication>,
    /// The lives of engines of this message that have begun again lately; news of such an engine
    /// without its life are passed over.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "i")]
    pub lives: Vec<EngineIncarnationUpdate>,
    /// All work of the sender at engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "o")]
    pub loads: Vec<EngineLoadUpdate>,
    /// What tenants that come near their limits use at the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "x")]
    pub usages: Vec<UsageUpdate>,
    /// What the sender brings pools to read.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "y")]
    pub reading: Vec<PrefillDemandUpdate>,
    /// Load at the sender of pools that may be short of capacity.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "W", deserialize_with = "readable")]
    pub pool_loads: Vec<PoolLoadUpdate>,
    /// The states of the stores of kept KV cache that the sender asks.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub kv_stores: Vec<KvStoreUpdate>,
    /// Delays of the KV stores as the sender has measured them, while any is noticeable.
    #[serde(rename = "K", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub source_delays: Vec<SourceDelayUpdate>,
    /// Prefixes that engines have read since the last message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "h")]
    pub holders: Vec<HolderUpdate>,
    /// Prefixes that engines have dropped since the last message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "d")]
    pub dropped: Vec<HolderUpdate>,
    /// The newest grants of releases.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "b", deserialize_with = "readable")]
    pub releases: Vec<ReleaseUpdate>,
    /// Answers that the sender has seen in releases.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "v")]
    pub evidence: Vec<EvidenceUpdate>,
    /// Requests under which engines ended, when that is news, and with the introduction those held back.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "z", deserialize_with = "readable")]
    pub poison: Vec<PoisonUpdate>,
    /// What engines have said of themselves in answers, when that is news, and with the introduction all of it by turns.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "S", deserialize_with = "readable")]
    pub signals: Vec<SignalUpdate>,
    /// Engines that the sender could not reach, or heard from after others could not, when that is news.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "D", deserialize_with = "readable_or_default")]
    pub reach: Option<ReachUpdate>,
    /// Software versions of pools that several of them serve.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "X", deserialize_with = "readable")]
    pub served: Vec<ServedVersions>,
    /// Whether the sender knows all orders of releases, told with the introduction.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "j")]
    pub knows_orders: bool,
    /// Changes of weights since the last message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "w")]
    pub weights: Vec<WeightsUpdate>,
    /// Engines that the sender, which holds the order lease, can't reach.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Q", deserialize_with = "readable_or_default")]
    pub reach_question: Option<ReachQuestion>,
    /// Which of the engines that the holder of the order lease can't reach the sender reaches.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "A", deserialize_with = "readable_or_default")]
    pub reach_answer: Option<ReachAnswer>,
    /// Whether the sender passes on connections to engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "V", deserialize_with = "readable_or_default")]
    pub tunnels: Option<TunnelService>,
    /// To whom the sender has handed over the order lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "H", deserialize_with = "readable_or_default")]
    pub handover: Option<HandoverUpdate>,
}

impl PeerMessage {
    /// The same for nodes of other zones in a large deployment: of the sender's work, and of what its
    /// engines have read, they hear through the news of its zone.
    pub fn without_zone_update(self) -> Self {
        Self {
            loads: Vec::new(),
            usages: Vec::new(),
            reading: Vec::new(),
            pool_loads: Vec::new(),
            source_delays: Vec::new(),
            holders: Vec::new(),
            ..self
        }
    }
    /// The same for nodes that take no part in finding a node that reaches more engines.
    pub fn without_reach(self) -> Self {
        Self {
            reach_question: None,
            reach_answer: None,
            ..self
        }
    }
}
