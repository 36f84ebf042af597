//! What a gateway believes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::control::StoreVersion;
use ryerouter_core::identity::{BackEndName, PoolName, ZoneName};
use ryerouter_core::poison;
use ryerouter_core::quota::Meter;

use super::outdated_engines::OutdatedEngines;
use super::{CallerRing, Freshness, GatewaySettings};
use crate::catalogue::RoutingTable;
use crate::engines::{BeginTimes, EngineTable, KnownLives, PartTimes};
use crate::peers::{
    HolderUpdate, LeaseUpdate, MemberAddress, NodeIdentity, NodeState, PeerTable, SentTimes,
    WeightsUpdate, ZoneTraffic,
};
use crate::placement::{Division, HolderTable, KvStores, ReadingDemand};
use crate::poison::Records;
use crate::quotas::Quotas;
use crate::release;
use crate::retry::RetryWindow;
use crate::rollout::WeightsDeadlines;
use crate::source::{ChangeLog, ItemKind, Replicas, Steadiness};
use crate::sync::{Exchange, ListTransfer, Transfer};

/// Requests are averaged over this time: two answers of the directory.
const REQUEST_RATE_WINDOW: Duration = Duration::from_secs(4);

/// What a gateway believes; changed between awaits only.
#[derive(Debug)]
pub struct GatewayState {
    /// Whether it serves.
    pub node_state: NodeState,
    /// The configuration, once one is known.
    pub table: Option<Rc<RoutingTable>>,
    /// How far the copies of what the source holds are.
    pub replicas: Replicas,
    /// Recent changes of the list of engines, for other nodes.
    pub engine_log: ChangeLog,
    /// Revision after which this node saw all weights come that were named.
    pub weights_seen_after: Option<u64>,
    /// Questions to and of other nodes about what the source holds.
    pub sync: Exchange,
    /// A configuration that another node hands on.
    pub transfer: Transfer,
    /// A list of engines that another node hands on.
    pub list_transfer: ListTransfer,
    /// Whether the last call to the source was answered.
    pub is_source_reachable: bool,
    /// When the source last answered this node, or another one as far as that one told.
    pub source_answered_at: Option<Timestamp>,
    /// Since when the source has answered this node or others without a break.
    pub steadiness: Steadiness,
    /// Another node that knows what this one lacks.
    pub peer_ahead: Option<MemberAddress>,
    /// When the store of leases last did not answer, until it does. Other calls to the source may go
    /// on for a while without a fault: watches wait long, and proofs come from other nodes.
    pub lease_store_failed_at: Option<Timestamp>,
    /// Whether the list of engines has been read.
    pub has_engine_list: bool,
    /// Whether the list of named weights has been read: what comes later is new.
    pub has_weights_list: bool,
    /// When a call for the list of engines last failed, or was answered again after that.
    pub engine_list_disrupted_at: Option<Timestamp>,
    /// Whether the last call for the list of engines failed.
    pub is_engine_list_failing: bool,
    /// All engines.
    pub engines: EngineTable,
    /// Whether entries of engines went during trouble of the source, and may come back.
    pub has_unlisted_engines: bool,
    /// Whether engines have older weights than named.
    pub outdated_engines: OutdatedEngines,
    /// Which engines have begun again lately.
    pub lives: KnownLives,
    /// Entries of the list of engines that can't be read, for a node that the list is handed to.
    pub unusable_entries: BTreeSet<BackEndName>,
    /// How long requests take to begin.
    pub begin_times: BeginTimes,
    /// How long answers take.
    pub part_times: PartTimes,
    /// What is read for requests that mostly read.
    pub reading_demand: ReadingDemand,
    /// Which engines are kept for them.
    pub divisions: HashMap<PoolName, Division>,
    /// Who holds which prefix.
    pub holders: HolderTable,
    /// What is believed of the stores of kept KV cache.
    pub kv_stores: KvStores,
    /// Which weights were named.
    pub deadlines: WeightsDeadlines,
    /// Requests that this node has sent to replaced weights since they were last counted up.
    pub stale_weight_starts: HashMap<PoolName, u32>,
    /// What tenants with limits use.
    pub quotas: Quotas,
    /// Releases of engine software.
    pub releases: release::Table,
    /// Requests under which engines ended.
    pub poison: poison::Register,
    /// Those of them to tell others of, and how often.
    pub poison_news: BTreeMap<poison::Digest, u32>,
    /// What is known of the records of those that are held back.
    pub poison_records: Records,
    /// Counts introductions: those that are held back are told by turns.
    pub poison_rotation: usize,
    /// Engines that have named a limit.
    pub limited_engines: BTreeSet<BackEndName>,
    /// The last of them whose share was computed anew, when others are still to come.
    pub last_refreshed_limit: Option<BackEndName>,
    /// Engines that have said something new, and how often others are to be told.
    pub signal_updates: BTreeMap<BackEndName, u32>,
    /// Counts introductions: what engines have said is told by turns.
    pub signal_rotation: usize,
    /// Retry budgets.
    pub retries: HashMap<PoolName, RetryWindow>,
    /// Other nodes.
    pub peers: PeerTable,
    /// Whether this node holds the lease of orders.
    pub gives_orders: bool,
    /// Fencing number of that lease, while this node holds it.
    pub order_fence: Option<u64>,
    /// When that lease runs out.
    pub order_lease_until: Option<Timestamp>,
    /// Whether this node knows of an order of a release that has not come to its end.
    pub has_release_work: bool,
    /// Whether a node has come that was not told whom this one knows.
    pub owes_full_update: bool,
    /// Nodes that do not know yet how many there are; the next message also goes to them.
    pub new_peers: Vec<SocketAddr>,
    /// Number of the last message to other nodes.
    pub sequence: u64,
    /// When the last messages were sent.
    pub sent_times: SentTimes,
    /// The lease of orders as this node saw it last, and when it first did.
    pub observed_lease: Option<(LeaseUpdate, Timestamp)>,
    /// Version of the lease that other nodes were told last.
    pub announced_lease: Option<StoreVersion>,
    /// Whether this node holds the lease of orders or is to have it.
    pub is_order_candidate: bool,
    /// Whether the next message goes to every node, however many there are.
    pub broadcast_next: bool,
    /// The lease of orders as another node told last; the age counts from now on.
    pub received_lease: Option<LeaseUpdate>,
    /// Prefixes to tell others of.
    pub holder_updates: Vec<HolderUpdate>,
    /// Prefixes that engines have dropped, to tell others of.
    pub drop_updates: Vec<HolderUpdate>,
    /// Prefixes to tell other zones of.
    pub zone_updates: Vec<HolderUpdate>,
    /// Counts news for other zones: nodes of other regions take turns to pass them on.
    pub relay_rotation: usize,
    /// What other zones' nodes do.
    pub zone_traffic: ZoneTraffic,
    /// Whether other nodes have told of work since it was summed up.
    pub foreign_loads_changed: bool,
    /// Loads to tell every node of, in a large deployment.
    pub load_updates: Vec<WeightsUpdate>,
    /// Weights to tell others of.
    pub weights_updates: Vec<WeightsUpdate>,
    /// From how far away callers of each zone were last sent to nodes.
    pub caller_rings: BTreeMap<ZoneName, CallerRing>,
    /// Requests that came, a second.
    pub requests: Meter,
    /// Requests in progress.
    pub active_requests: usize,
    /// How long the machine has been suspended, as far as that was logged.
    pub logged_suspension: Duration,
}

impl GatewayState {
    /// When the configuration was last certainly current.
    pub fn freshness(&self) -> Freshness {
        self.replicas.of(ItemKind::Configuration).freshness
    }

    /// Another node knows what this one lacks: it is asked, unless it was silent lately.
    pub fn note_peer_ahead(&mut self, node: &NodeIdentity, now: Timestamp) {
        if self.sync.may_ask(&node.name, now) {
            self.peer_ahead = Some(MemberAddress {
                name: node.name.clone(),
                address: node.peer_address,
            });
        }
    }

    /// Whether entries of engines that have gone may have lapsed while the source stood still, and come
    /// back within `grace` of its return. Failed calls of this node alone don't say so.
    pub fn may_entries_return(&self, grace: Duration, now: Timestamp) -> bool {
        let disrupted_at = self.engine_list_disrupted_at;
        let is_disrupted = disrupted_at.is_some_and(|at| now.since(at) < grace);
        is_disrupted && !self.steadiness.holds(grace, now)
    }

    /// The state at the start of a process, which is `now`.
    pub fn new(settings: &GatewaySettings, now: Timestamp) -> Self {
        let mut peers = PeerTable::new(settings.places.clone());
        for seed in &settings.seeds {
            if *seed != settings.identity.peer_address {
                peers.suggest(*seed);
            }
        }
        Self {
            node_state: NodeState::Starting,
            table: None,
            replicas: Replicas::default(),
            engine_log: ChangeLog::default(),
            weights_seen_after: None,
            sync: Exchange::default(),
            transfer: Transfer::default(),
            list_transfer: ListTransfer::default(),
            is_source_reachable: false,
            source_answered_at: None,
            steadiness: Steadiness::new(settings.entry_ttl),
            peer_ahead: None,
            lease_store_failed_at: None,
            has_engine_list: false,
            has_weights_list: false,
            engine_list_disrupted_at: None,
            is_engine_list_failing: false,
            engines: EngineTable::default(),
            has_unlisted_engines: false,
            outdated_engines: OutdatedEngines::default(),
            lives: KnownLives::default(),
            unusable_entries: BTreeSet::new(),
            begin_times: BeginTimes::default(),
            part_times: PartTimes::default(),
            reading_demand: ReadingDemand::default(),
            divisions: HashMap::new(),
            holders: HolderTable::new(settings.remembered_prefixes),
            kv_stores: KvStores::default(),
            deadlines: WeightsDeadlines::new(settings.weights_grace),
            stale_weight_starts: HashMap::new(),
            quotas: Quotas::new(settings.limit_tolerance, now),
            releases: release::Table::default(),
            poison: poison::Register::default(),
            poison_news: BTreeMap::new(),
            poison_records: Records::default(),
            poison_rotation: 0,
            limited_engines: BTreeSet::new(),
            last_refreshed_limit: None,
            signal_updates: BTreeMap::new(),
            signal_rotation: 0,
            retries: HashMap::new(),
            peers,
            gives_orders: false,
            order_fence: None,
            order_lease_until: None,
            has_release_work: false,
            owes_full_update: false,
            new_peers: Vec::new(),
            sequence: 0,
            sent_times: SentTimes::default(),
            observed_lease: None,
            announced_lease: None,
            is_order_candidate: false,
            broadcast_next: false,
            received_lease: None,
            holder_updates: Vec::new(),
            drop_updates: Vec::new(),
            zone_updates: Vec::new(),
            relay_rotation: 0,
            zone_traffic: ZoneTraffic::default(),
            foreign_loads_changed: false,
            load_updates: Vec::new(),
            weights_updates: Vec::new(),
            caller_rings: BTreeMap::new(),
            requests: Meter::new(REQUEST_RATE_WINDOW, now),
            active_requests: 0,
            logged_suspension: Duration::ZERO,
        }
    }
}
