//! The handle that the tasks of a gateway share.

use std::cell::{Ref, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use slog::{Logger, info};
use tokio::sync::Notify;

use super::{GatewaySettings, GatewayState};
use crate::clock::Clock;
use crate::continuation::SoftwareConstraint;
use crate::memory::HeldMemory;
use crate::peers::{Datagram, NodeState};
use crate::permits::Returns;
use crate::placement::{Chooser, Placement, PlacementRequest, UnhealthyEngines};
use crate::release::EngineFilter;
use crate::request::Dialect;
use crate::retry::{RetrySettings, RetryWindow};
use crate::telemetry::{LogSampler, Metrics};
use crate::upstream::Upstream;

/// Time after start within which a node gets to know the others, even when all start at once.
pub(crate) const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Within this time a node that has just started learns whether there are many others, also where all start at once.
pub(crate) const SIZE_DISCOVERY_TIME: Duration = Duration::from_millis(700);
/// Minimum number of nodes assumed to share the retry budget while a new node discovers its peers, unless there may be
/// many of them.
const MIN_PROCESSES_DURING_DISCOVERY: usize = 16;
/// The same where there may be many.
const MIN_PROCESSES_OF_LARGE_DEPLOYMENT: usize = 1_000;
/// Engines with older weights are avoided earlier by the longest recent start delay of requests,
/// but by no more than this share of the grace for older weights.
const MAX_START_DELAY_SHARE: f64 = 0.25;

/// Maximum number of log lines a second about requests that ended unserved: enough to show what is
/// wrong with a failing node, without flooding the log.
const UNSERVED_LINES_PER_SECOND: u32 = 50;

/// Maximum number of log lines a second about entries of the engine list: enough to follow single
/// engines, while a list of ten thousand is logged by its length.
const ENGINE_LINES_PER_SECOND: u32 = 20;

/// Maximum number of log lines a second about ejected engines.
const EJECTION_LINES_PER_SECOND: u32 = 20;

/// Maximum number of log lines a second about doubted engines.
const DOUBT_LINES_PER_SECOND: u32 = 20;

/// Maximum number of log lines a second about engines that refuse requests for lack of capacity.
const FULL_LINES_PER_SECOND: u32 = 20;

/// Maximum number of log lines a second about paths to engines.
const PATH_LINES_PER_SECOND: u32 = 20;

/// Maximum number of log lines a second about proofs of the configuration.
const PROOF_LINES_PER_SECOND: u32 = 5;

/// Maximum number of log lines a second about streams that callers take up again.
const CONTINUATION_LINES_PER_SECOND: u32 = 20;

/// Sends a datagram to other nodes at once; it is lost while no link to them runs.
pub type DatagramSender = Box<dyn Fn(&Gateway, &Datagram, &[SocketAddr])>;

/// Everything that the tasks of a gateway share.
pub struct Gateway {
    settings: GatewaySettings,
    clock: Clock,
    log: Logger,
    metrics: Rc<Metrics>,
    memory: Arc<HeldMemory>,
    sampler: LogSampler,
    unserved_sampler: LogSampler,
    old_list_sampler: LogSampler,
    release_sampler: LogSampler,
    engine_sampler: LogSampler,
    ejection_sampler: LogSampler,
    signal_sampler: LogSampler,
    full_sampler: LogSampler,
    doubt_sampler: LogSampler,
    path_sampler: LogSampler,
    memory_sampler: LogSampler,
    proof_sampler: LogSampler,
    continuation_sampler: LogSampler,
    datagram_sender: RefCell<Option<DatagramSender>>,
    dialect: Rc<dyn Dialect>,
    upstream: Upstream,
    pub(super) returns: Rc<Returns>,
    state: RefCell<GatewayState>,
    pub(super) send_requested: Notify,
    /// Notified when a request waits for the records of blocked requests.
    pub(crate) poison_records_requested: Notify,
    /// Notified when a record is to be written or removed.
    pub(crate) poison_records_due: Notify,
    /// Notified when records have been read or written.
    pub(super) poison_records_changed: Notify,
    /// Notified when a shard's records are to be read from the store or written to it.
    pub(crate) stream_records_due: Notify,
    /// Notified when the recorded versions have been read.
    pub(super) versions_read: Notify,
    /// Notified when they are to be read.
    pub(super) version_reading_wanted: Notify,
    /// Notified when the orders of releases, or the order of a pool, become known.
    pub(super) orders_known: Notify,
    /// Notified when a shard's records have been read, or could not be.
    pub(super) shard_read: Notify,
    /// Notified when an engine is doubted.
    pub(super) engine_doubted: Notify,
    /// Notified of each configuration.
    pub(super) configured: Notify,
    leaving: Notify,
    accepting_stopped: Notify,
}

impl Gateway {
    /// Creates a gateway with empty state.
    pub fn new(settings: GatewaySettings, dialect: Rc<dyn Dialect>, log: Logger) -> Rc<Self> {
        Self::with_clock(settings, dialect, log, Clock::start())
    }

    /// Creates a gateway with a clock that has already been started.
    pub fn with_clock(
        settings: GatewaySettings,
        dialect: Rc<dyn Dialect>,
        log: Logger,
        clock: Clock,
    ) -> Rc<Self> {
        let metrics = Rc::new(Metrics::new());
        Rc::new(Self {
            upstream: Upstream::new(settings.connect.clone(), clock)
                .with_identity(&settings.identity),
            returns: Rc::default(),
            state: RefCell::new(GatewayState::new(&settings, clock.now())),
            memory: HeldMemory::new(settings.memory, metrics.held_bytes.clone()),
            settings,
            clock,
            log,
            metrics,
            sampler: LogSampler::default(),
            unserved_sampler: LogSampler::new(UNSERVED_LINES_PER_SECOND),
            old_list_sampler: LogSampler::default(),
            release_sampler: LogSampler::default(),
            engine_sampler: LogSampler::new(ENGINE_LINES_PER_SECOND),
            ejection_sampler: LogSampler::new(EJECTION_LINES_PER_SECOND),
            signal_sampler: LogSampler::default(),
            full_sampler: LogSampler::new(FULL_LINES_PER_SECOND),
            doubt_sampler: LogSampler::new(DOUBT_LINES_PER_SECOND),
            path_sampler: LogSampler::new(PATH_LINES_PER_SECOND),
            memory_sampler: LogSampler::default(),
            proof_sampler: LogSampler::new(PROOF_LINES_PER_SECOND),
            continuation_sampler: LogSampler::new(CONTINUATION_LINES_PER_SECOND),
            datagram_sender: RefCell::new(None),
            dialect,
            send_requested: Notify::new(),
            poison_records_requested: Notify::new(),
            poison_records_due: Notify::new(),
            poison_records_changed: Notify::new(),
            stream_records_due: Notify::new(),
            versions_read: Notify::new(),
            orders_known: Notify::new(),
            version_reading_wanted: Notify::new(),
            shard_read: Notify::new(),
            engine_doubted: Notify::new(),
            configured: Notify::new(),
            leaving: Notify::new(),
            accepting_stopped: Notify::new(),
        })
    }

    /// The settings.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// The clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The logger.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Limits log lines about successful requests.
    pub fn sampler(&self) -> &LogSampler {
        &self.sampler
    }

    /// Limits log lines about requests that ended unserved.
    pub fn unserved_sampler(&self) -> &LogSampler {
        &self.unserved_sampler
    }

    /// Limits log lines about requests dispatched with an old engine list.
    pub fn old_list_sampler(&self) -> &LogSampler {
        &self.old_list_sampler
    }

    /// Limits log lines about bad responses during a release.
    pub fn release_sampler(&self) -> &LogSampler {
        &self.release_sampler
    }

    /// Limits log lines about entries of the engine list.
    pub fn engine_sampler(&self) -> &LogSampler {
        &self.engine_sampler
    }

    /// Limits log lines about ejected engines.
    pub fn ejection_sampler(&self) -> &LogSampler {
        &self.ejection_sampler
    }

    /// Limits log lines about signals of engines.
    pub fn signal_sampler(&self) -> &LogSampler {
        &self.signal_sampler
    }

    /// Limits log lines about engines that refuse requests for lack of capacity.
    pub fn full_sampler(&self) -> &LogSampler {
        &self.full_sampler
    }

    /// Limits log lines about doubted engines.
    pub fn doubt_sampler(&self) -> &LogSampler {
        &self.doubt_sampler
    }

    /// Limits log lines about paths to engines.
    pub fn path_sampler(&self) -> &LogSampler {
        &self.path_sampler
    }

    /// Limits log lines about proofs of the configuration.
    pub(crate) fn proof_sampler(&self) -> &LogSampler {
        &self.proof_sampler
    }

    /// Limits log lines about bodies for which there is no memory.
    pub fn memory_sampler(&self) -> &LogSampler {
        &self.memory_sampler
    }

    /// Limits log lines about streams that callers take up again.
    pub fn continuation_sampler(&self) -> &LogSampler {
        &self.continuation_sampler
    }

    /// Sets how datagrams are sent outside of the regular messages.
    pub fn attach_peer_link(&self, sender: DatagramSender) {
        self.datagram_sender.replace(Some(sender));
    }

    /// Sends a datagram to other nodes at once, before the caller of this function goes on.
    pub(super) fn send_datagram(&self, datagram: &Datagram, receivers: &[SocketAddr]) {
        if let Some(send) = self.datagram_sender.borrow().as_ref() {
            send(self, datagram, receivers);
        }
    }

    /// The metrics.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// The memory that is held for callers.
    pub fn memory(&self) -> &Arc<HeldMemory> {
        &self.memory
    }

    /// Translates request and response heads.
    pub fn dialect(&self) -> &dyn Dialect {
        self.dialect.as_ref()
    }

    /// Connections to engines.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Borrows the state; the borrow must not be held across an await point.
    pub fn state(&self) -> Ref<'_, GatewayState> {
        self.state.borrow()
    }

    /// Borrows the state mutably; the borrow must not be held across an await point.
    pub fn state_mut(&self) -> RefMut<'_, GatewayState> {
        self.state.borrow_mut()
    }

    /// Chooses an engine for a request, of any software version.
    pub fn choose(&self, request: &PlacementRequest<'_>) -> Option<Placement> {
        self.choose_version(request, &SoftwareConstraint::Any)
    }

    /// Chooses an engine for a request among those of the software versions that may take it.
    pub fn choose_version(
        &self,
        request: &PlacementRequest<'_>,
        software: &SoftwareConstraint,
    ) -> Option<Placement> {
        let admission = self.admission(request.pool, request.id, request.tried, software);
        let first = self.choose_among(request, &admission.first, admission.unhealthy);
        let placement = first.or_else(|| {
            let fallback = admission.fallback.as_ref()?;
            self.choose_among(request, fallback, UnhealthyEngines::LastResort)
        })?;
        self.count_distance(&placement);
        self.count_prefill_tokens(request, &placement);
        if placement.cost.stale > 0.0 {
            let mut state = self.state_mut();
            *state
                .stale_weight_starts
                .entry(request.pool.clone())
                .or_default() += 1;
        }
        Some(placement)
    }

    fn count_distance(&self, placement: &Placement) {
        let state = self.state();
        let Some(engine) = state.engines.get(&placement.engine) else {
            return;
        };
        let own_zone = &self.settings.identity.zone;
        let distance = self
            .settings
            .topology
            .distance(own_zone, &engine.entry.zone);
        let placements = &self.metrics.placements_by_distance;
        placements.with_label_values(&[&distance.to_string()]).inc();
    }

    fn choose_among(
        &self,
        request: &PlacementRequest<'_>,
        filter: &EngineFilter,
        unhealthy: UnhealthyEngines,
    ) -> Option<Placement> {
        let state = self.state();
        let table = state.table.as_ref()?;
        let now = self.clock.now();
        let max_start_delay = self.settings.weights_grace.mul_f64(MAX_START_DELAY_SHARE);
        let chooser = Chooser {
            engines: &state.engines,
            holders: &state.holders,
            table,
            kv_stores: &state.kv_stores,
            deadlines: &state.deadlines,
            max_recent_start_delay: state
                .start_delays
                .max_recent(request.pool, now)
                .min(max_start_delay),
            prices: &self.settings.prices,
            prefill_split: state.prefill_splits.get(request.pool),
            is_large: state.peers.is_large(),
            zone: &self.settings.identity.zone,
            topology: &self.settings.topology,
            now,
        };
        chooser.choose_among(request, filter, unhealthy)
    }

    /// Takes the number of requests of each pool that started on replaced weights since the last
    /// call, estimated for all nodes: callers reach each node in proportion to its capacity, so
    /// this node's count is scaled up by its share of the total capacity.
    pub fn take_stale_weight_starts(&self) -> Vec<(PoolName, f64)> {
        let mut state = self.state_mut();
        let nodes = (state.peers.known_count() + 1) as f64;
        let own_capacity = self.settings.identity.capacity;
        let factor = nodes * state.peers.mean_weight(own_capacity) / own_capacity.weight();
        let own = std::mem::take(&mut state.stale_weight_starts);
        let all = |(pool, count): (PoolName, u32)| (pool, f64::from(count) * factor);
        own.into_iter().map(all).collect()
    }

    /// Counts a request that arrived for a pool.
    pub fn count_request(&self, pool: &PoolName) {
        let now = self.clock.now();
        let mut state = self.state_mut();
        let window = state.retries.entry(pool.clone()).or_default();
        window.count_request(&self.settings.retry, now);
        state.requests.count(1.0, now);
    }

    /// Takes a retry from a pool's budget, if any is left.
    pub fn spend_retry(&self, pool: &PoolName) -> bool {
        self.spend_retry_of(pool, RetryWindow::spend)
    }

    /// Takes a retry for an attempt that has not failed but may be slow, if the budget has any left
    /// for such retries.
    pub fn spend_speculative_retry(&self, pool: &PoolName) -> bool {
        self.spend_retry_of(pool, RetryWindow::spend_speculative)
    }

    fn spend_retry_of(
        &self,
        pool: &PoolName,
        spend: impl FnOnce(&mut RetryWindow, &RetrySettings, usize, Timestamp) -> bool,
    ) -> bool {
        let now: Timestamp = self.clock.now();
        let mut state = self.state_mut();
        let processes = self.retrying_processes(&state);
        let window = state.retries.entry(pool.clone()).or_default();
        let is_allowed = spend(window, &self.settings.retry, processes, now);
        match is_allowed {
            true => self.metrics.retries.inc(),
            false => self.metrics.retries_denied.inc(),
        }
        is_allowed
    }

    /// Number of nodes that are assumed to share the retry budget. Those that have just started, perhaps all at once, do
    /// not know each other yet, and not knowing of others is no proof that there are few.
    fn retrying_processes(&self, state: &GatewayState) -> usize {
        let known = state.peers.known_count() + 1;
        let is_new = self.uptime() < PEER_DISCOVERY_TIME;
        let is_size_unknown =
            !state.peers.has_heard_all_known() && self.uptime() < SIZE_DISCOVERY_TIME;
        let may_be_large = is_size_unknown || is_new && state.peers.is_large();
        if may_be_large || state.peers.may_know_few_of_many() {
            return known.max(MIN_PROCESSES_OF_LARGE_DEPLOYMENT);
        }
        match is_new {
            true => known.max(MIN_PROCESSES_DURING_DISCOVERY),
            false => known,
        }
    }

    /// Starts the shutdown: new callers are no longer accepted, requests in progress are finished.
    pub fn leave(&self) {
        self.state_mut().node_state = NodeState::Leaving;
        self.state_mut().broadcast_next = true;
        info!(self.log, "stopping"; "active_requests" => self.state().active_requests);
        self.send_requested.notify_one();
        self.leaving.notify_waiters();
    }

    /// Starts the shutdown of a process that ends at `end` whatever is in progress then.
    pub(crate) fn leave_until(&self, end: Timestamp) {
        self.state_mut().stops_at = Some(end);
        self.leave();
    }

    /// Time until the process ends; `None` while it is not known to end.
    pub(crate) fn time_until_stop(&self) -> Option<Duration> {
        let end = self.state().stops_at?;
        Some(end.since(self.clock.now()))
    }

    /// Whether a configuration has been received.
    pub(crate) fn is_configured(&self) -> bool {
        self.state().table.is_some()
    }

    /// Resolves once a configuration has been received.
    pub(crate) async fn until_configured(&self) {
        let notified = self.configured.notified();
        if self.is_configured() {
            return;
        }
        notified.await;
    }

    /// Records that callers' connections are no longer accepted.
    pub(crate) fn note_stopped_accepting(&self) {
        let had_stopped = std::mem::replace(&mut self.state_mut().has_stopped_accepting, true);
        if had_stopped {
            return;
        }
        info!(self.log, "accepting_stopped"; "active_requests" => self.state().active_requests);
        self.accepting_stopped.notify_waiters();
    }

    /// Resolves once callers' connections are no longer accepted.
    pub(crate) async fn until_stopped_accepting(&self) {
        let notified = self.accepting_stopped.notified();
        if self.state().has_stopped_accepting {
            return;
        }
        notified.await;
    }

    /// Whether the gateway is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.state().node_state == NodeState::Leaving
    }

    /// Resolves once the gateway is shutting down.
    pub async fn until_leaving(&self) {
        let notified = self.leaving.notified();
        if self.is_leaving() {
            return;
        }
        notified.await;
    }
}
