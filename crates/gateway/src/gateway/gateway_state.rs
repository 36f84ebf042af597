//! The mutable state of a gateway.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::control::StoreVersion;
use ryerouter_core::identity::{BackEndName, PoolName, ZoneName};
use ryerouter_core::poison;
use ryerouter_core::quota::Meter;
use ryerouter_core::reach::ReachTable;

use super::outdated_engines::OutdatedEngines;
use super::silent_engines::own_reporter;
use super::{CallerRing, Freshness, GatewaySettings, HandoverState, OrderNeed, UnmetNeed};
use crate::catalogue::RoutingTable;
use crate::continuation::Continuations;
use crate::engines::{
    AnswerDurations, Departures, EngineTable, KnownIncarnations, PhaseTimes, StartDelays,
};
use crate::peers::{
    HolderUpdate, LeaseUpdate, MemberAddress, NodeIdentity, NodeState, PeerTable, SentTimes,
    WeightsUpdate, ZoneTraffic,
};
use crate::permits;
use crate::placement::{HolderTable, KvStores, PrefillDemand, PrefillSplit};
use crate::poison::{RecordTable, WatchedRuns};
use crate::quotas::Quotas;
use crate::release;
use crate::retry::RetryWindow;
use crate::rollout::WeightsDeadlines;
use crate::shedding::Shedders;
use crate::source::{ChangeLog, ItemKind, Replicas, Revision, Steadiness};
use crate::sync::{Exchange, ListFill, ListTransfer, Transfer};

/// Window over which the request rate is averaged: twice the interval at which the directory
/// answers callers.
const REQUEST_RATE_WINDOW: Duration = Duration::from_secs(4);

/// The mutable state of a gateway. It changes only between await points.
#[derive(Debug)]
pub struct GatewayState {
    /// Lifecycle state of this node.
    pub node_state: NodeState,
    /// What keeps this node from serving, while it has not served yet.
    pub unmet_need: Option<UnmetNeed>,
    /// The current configuration; `None` until one is known.
    pub table: Option<Rc<RoutingTable>>,
    /// Progress of the replicas of the source's items.
    pub replicas: Replicas,
    /// Recent changes of the engine list, from which questions of other nodes are answered.
    pub engine_log: ChangeLog,
    /// Revision from which on this node has seen every published version of weights.
    pub weights_seen_after: Option<Revision>,
    /// Questions about the source's items, sent to and received from other nodes.
    pub sync: Exchange,
    /// Transfer of a configuration from another node.
    pub transfer: Transfer,
    /// Progress of the first engine list.
    pub list_fill: ListFill,
    /// Transfer of a newer engine list from another node.
    pub list_transfer: ListTransfer,
    /// Era of the source, as far as this node has seen; zero while the source tells none.
    pub source_era: u64,
    /// When this node saw the source come back from a copy.
    pub restored_at: Option<Timestamp>,
    /// Whether the last request to the source was answered.
    pub is_source_reachable: bool,
    /// When the source last answered this node, or another node according to its messages.
    pub source_answered_at: Option<Timestamp>,
    /// Since when the source has answered this node or others without interruption.
    pub steadiness: Steadiness,
    /// How late the source answered the last question that it did not hold open for a change.
    pub source_delay: Duration,
    /// Another node whose replica is newer than this node's.
    pub peer_ahead: Option<MemberAddress>,
    /// When a request to the lease store last failed; `None` once one succeeds. Other requests to
    /// the source may show no error for a while: watches stay open for long, and other nodes can
    /// confirm that the replicas are current.
    pub lease_store_failed_at: Option<Timestamp>,
    /// Whether the engine list has been read.
    pub has_engine_list: bool,
    /// Whether the list of published weights has been read; later versions are new ones.
    pub has_weights_list: bool,
    /// When a request for the engine list last failed, or first succeeded after failures.
    pub engine_list_disrupted_at: Option<Timestamp>,
    /// Whether the last request for the engine list failed.
    pub is_engine_list_failing: bool,
    /// All known engines.
    pub engines: EngineTable,
    /// Whether `engines` holds any whose entries were removed during a disruption of the source and
    /// may return.
    pub has_unlisted_engines: bool,
    /// Cached result of whether any engine has older weights than published.
    pub outdated_engines: OutdatedEngines,
    /// Incarnations of engines that restarted or were removed recently.
    pub incarnations: KnownIncarnations,
    /// Engines that have left, which a copy of the source may list again.
    pub departures: Departures,
    /// Engines whose entries in the engine list can't be parsed; sent along when another node
    /// fetches the list.
    pub unusable_entries: BTreeSet<BackEndName>,
    /// Start delays of requests, by pool.
    pub start_delays: StartDelays,
    /// Durations of the phases of responses.
    pub phase_times: PhaseTimes,
    /// How long whole answers take.
    pub answer_durations: AnswerDurations,
    /// Prompt tokens that prefill-heavy requests bring, by pool.
    pub prefill_demand: PrefillDemand,
    /// Engines reserved for prefill-heavy requests, by pool.
    pub prefill_splits: HashMap<PoolName, PrefillSplit>,
    /// Which engines and stores hold which prefixes.
    pub holders: HolderTable,
    /// Known state of the KV stores.
    pub kv_stores: KvStores,
    /// Published versions of weights and their deadlines.
    pub deadlines: WeightsDeadlines,
    /// Requests that this node has sent to engines with replaced weights since the count was last
    /// taken.
    pub stale_weight_starts: HashMap<PoolName, u32>,
    /// Usage of tenants with limits.
    pub quotas: Quotas,
    /// Shedders of the pools of models.
    pub shedders: Shedders,
    /// Releases of engine software.
    pub releases: release::Table,
    /// Crashes of engines by the request that they ran.
    pub poison: poison::Register,
    /// Permits of engines that withstand few refusals.
    pub permits: permits::Table,
    /// Requests with new crashes or successes to report to other nodes, and how many transmissions
    /// remain.
    pub poison_updates: BTreeMap<poison::Digest, u32>,
    /// Runs whose engines are watched, since engines have crashed under the same request or parts.
    pub watched_runs: WatchedRuns,
    /// State of the stored records of blocked requests.
    pub poison_records: RecordTable,
    /// Number of full updates built so far; selects the part of the blocked requests that the next
    /// one carries.
    pub poison_rotation: usize,
    /// Engines that advertise a rate limit.
    pub limited_engines: BTreeSet<BackEndName>,
    /// The last engine whose share of a limit was recomputed, while others remain in this pass.
    pub last_refreshed_limit: Option<BackEndName>,
    /// Engines with new backpressure signals to report to other nodes, and how many transmissions
    /// remain.
    pub signal_updates: BTreeMap<BackEndName, u32>,
    /// Number of full updates built so far; selects the part of the engines' signals that the next
    /// one carries.
    pub signal_rotation: usize,
    /// What nodes know together of engines out of reach.
    pub reach: ReachTable,
    /// Retry budgets, by pool.
    pub retries: HashMap<PoolName, RetryWindow>,
    /// Other nodes.
    pub peers: PeerTable,
    /// Whether this node holds the order lease and so gives orders to engines.
    pub gives_orders: bool,
    /// Fencing number of the order lease, while this node holds it.
    pub order_fence: Option<u64>,
    /// When the order lease held by this node expires.
    pub order_lease_until: Option<Timestamp>,
    /// Since when orders are needed, and when somebody last gave any.
    pub order_need: OrderNeed,
    /// Handovers of the order lease.
    pub handover: HandoverState,
    /// Whether this node knows of a release order that is not finished.
    pub has_release_work: bool,
    /// Whether a node has joined that has not yet received a full update from this one.
    pub owes_full_update: bool,
    /// Nodes that do not know the size of the deployment yet; the next full update also goes to
    /// them.
    pub new_peers: Vec<SocketAddr>,
    /// Sequence number of the last message to other nodes.
    pub sequence: u64,
    /// Send times of recent messages.
    pub sent_times: SentTimes,
    /// The order lease as this node last read it, and when it first read this version.
    pub observed_lease: Option<(LeaseUpdate, Timestamp)>,
    /// Version of the order lease that was last sent to other nodes.
    pub announced_lease: Option<StoreVersion>,
    /// Whether this node holds the order lease or is the one that should acquire it.
    pub is_order_candidate: bool,
    /// Whether the next message goes to every node, regardless of their number.
    pub broadcast_next: bool,
    /// The order lease as last received from another node; its age counts from the time of receipt.
    pub received_lease: Option<LeaseUpdate>,
    /// Prefix holders to report to other nodes.
    pub holder_updates: Vec<HolderUpdate>,
    /// Prefixes that engines have evicted, to report to other nodes.
    pub drop_updates: Vec<HolderUpdate>,
    /// Prefix holders to report to other zones.
    pub zone_updates: Vec<HolderUpdate>,
    /// Number of updates built for other zones; selects the nodes of other regions that relay the
    /// next one.
    pub relay_rotation: usize,
    /// Load and usage reported by other zones.
    pub zone_traffic: ZoneTraffic,
    /// Whether loads reported by other nodes have changed since they were last summed up.
    pub foreign_loads_changed: bool,
    /// Starts and completions of weight loading, to report to every node of a large deployment.
    pub loading_updates: Vec<WeightsUpdate>,
    /// Weights that engines have loaded or are loading, to report to other nodes.
    pub weights_updates: Vec<WeightsUpdate>,
    /// Ring of nodes that callers of each zone were last sent to.
    pub caller_rings: BTreeMap<ZoneName, CallerRing>,
    /// Rate of incoming requests.
    pub requests: Meter,
    /// Versions of interrupted streams.
    pub continuations: Continuations,
    /// Number of requests in progress.
    pub active_requests: usize,
    /// When the process ends at the latest, once it is stopping.
    pub stops_at: Option<Timestamp>,
    /// Number of connections whose answers the system has not taken entirely.
    pub unwritten_answers: usize,
    /// Whether callers' connections are no longer accepted.
    pub has_stopped_accepting: bool,
    /// Number of tunnels of other nodes.
    pub open_tunnels: usize,
    /// Whether this node has lost its links to most engines, as last told.
    pub is_cut_off: bool,
    /// Total time that the machine has been suspended, as far as it has been logged.
    pub logged_suspension: Duration,
}

impl GatewayState {
    /// Whether the engine list has been read and was confirmed within `limit`.
    pub fn is_engine_list_current(&self, limit: Duration, now: Timestamp) -> bool {
        let replica = self.replicas.of(ItemKind::Engines);
        self.has_engine_list && replica.freshness.is_within(limit, now) && !replica.is_behind()
    }

    /// Whether this node holds the order lease, which may have expired since it was last checked.
    pub fn holds_order_lease(&self, now: Timestamp) -> bool {
        let is_valid = self.order_lease_until.is_some_and(|until| now < until);
        self.gives_orders && is_valid
    }

    /// When the configuration was last confirmed current.
    pub fn freshness(&self) -> Freshness {
        self.replicas.of(ItemKind::Configuration).freshness
    }

    /// Records that another node has newer items than this one, so that it is asked next; ignored
    /// while this node avoids it for having been silent or stale.
    pub fn note_peer_ahead(&mut self, node: &NodeIdentity, now: Timestamp) {
        if self.sync.may_ask(&node.name, now) {
            self.peer_ahead = Some(MemberAddress {
                name: node.name.clone(),
                address: node.peer_address,
            });
        }
    }

    /// Whether removed entries of engines may merely have expired while the source was unavailable,
    /// so that they return within `grace` of its recovery. Failed requests of this node alone are
    /// not enough: the source must also have stopped answering other nodes.
    pub fn may_entries_return(&self, grace: Duration, now: Timestamp) -> bool {
        let disrupted_at = self.engine_list_disrupted_at;
        let is_disrupted = disrupted_at.is_some_and(|at| now.since(at) < grace);
        is_disrupted && !self.steadiness.has_lasted(grace, now)
    }

    /// Creates the state of a process that starts at `now`.
    pub fn new(settings: &GatewaySettings, now: Timestamp) -> Self {
        let mut peers = PeerTable::new(settings.topology.clone());
        for seed in &settings.seeds {
            if *seed != settings.identity.peer_address {
                peers.suggest(*seed);
            }
        }
        Self {
            node_state: NodeState::Starting,
            unmet_need: None,
            table: None,
            replicas: Replicas::default(),
            engine_log: ChangeLog::default(),
            weights_seen_after: None,
            sync: Exchange::default(),
            transfer: Transfer::default(),
            list_fill: ListFill::default(),
            list_transfer: ListTransfer::default(),
            source_era: 0,
            restored_at: None,
            is_source_reachable: false,
            source_answered_at: None,
            steadiness: Steadiness::new(settings.entry_ttl),
            source_delay: Duration::ZERO,
            peer_ahead: None,
            lease_store_failed_at: None,
            has_engine_list: false,
            has_weights_list: false,
            engine_list_disrupted_at: None,
            is_engine_list_failing: false,
            engines: EngineTable::default(),
            has_unlisted_engines: false,
            outdated_engines: OutdatedEngines::default(),
            incarnations: KnownIncarnations::default(),
            departures: Departures::default(),
            unusable_entries: BTreeSet::new(),
            start_delays: StartDelays::default(),
            phase_times: PhaseTimes::default(),
            answer_durations: AnswerDurations::default(),
            prefill_demand: PrefillDemand::default(),
            prefill_splits: HashMap::new(),
            holders: HolderTable::new(settings.max_known_prefixes),
            kv_stores: KvStores::default(),
            deadlines: WeightsDeadlines::new(settings.weights_grace),
            stale_weight_starts: HashMap::new(),
            quotas: Quotas::new(settings.limit_tolerance, now),
            shedders: Shedders::default(),
            releases: release::Table::default(),
            poison: poison::Register::default(),
            permits: permits::Table::new(settings.identity.incarnation),
            poison_updates: BTreeMap::new(),
            watched_runs: WatchedRuns::default(),
            poison_records: RecordTable::default(),
            poison_rotation: 0,
            limited_engines: BTreeSet::new(),
            last_refreshed_limit: None,
            signal_updates: BTreeMap::new(),
            signal_rotation: 0,
            reach: ReachTable::new(own_reporter(&settings.identity, &settings.topology)),
            retries: HashMap::new(),
            peers,
            gives_orders: false,
            order_fence: None,
            order_lease_until: None,
            order_need: OrderNeed::default(),
            handover: HandoverState::default(),
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
            loading_updates: Vec::new(),
            weights_updates: Vec::new(),
            caller_rings: BTreeMap::new(),
            requests: Meter::new(REQUEST_RATE_WINDOW, now),
            continuations: Continuations::default(),
            active_requests: 0,
            stops_at: None,
            unwritten_answers: 0,
            has_stopped_accepting: false,
            open_tunnels: 0,
            is_cut_off: false,
            logged_suspension: Duration::ZERO,
        }
    }
}
