//! A running traffic side.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use ryerouter_core::dispatch::{DispatchEvent, RoutingSnapshot};
use ryerouter_core::identity::RequestId;
use ryerouter_core::limit::LimitEnvelope;
use slog::{Logger, info, o};
use socket2::SockRef;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::caller::BodyBudget;
use crate::clock::Clock;
use crate::metrics::TrafficMetrics;
use crate::rpc::TrafficInsight;

use super::worker::{Acceptor, SnapshotFeed, Ticker};
use super::{
    ActivityGate, ClaimGate, ContextInsight, DispatchFeed, DispatchHandle, LiveTraffic, NodeError,
    ObservationSink, RequestTrace, RoutingView, TraceRing, TrafficContext, TrafficSettings, Worker,
};

/// Maximum number of callers' connections that wait to be accepted, also while the process stands still; the system may
/// allow fewer.
const MAX_WAITING: i32 = 1_024;

/// A running traffic side: its threads serve callers until it is stopped or dropped.
pub struct RunningNode {
    address: SocketAddr,
    context: Arc<TrafficContext>,
    shutdown: CancellationToken,
    // Ends the threads at once, whatever they are doing.
    abort: CancellationToken,
    threads: Vec<JoinHandle<()>>,
}

impl RunningNode {
    /// Starts serving callers; returns once the listening address is bound.
    ///
    /// `snapshots` is where the control thread publishes, `observations` where it learns what answers
    /// say of back ends; until it publishes a configuration the
    /// process is not ready and refuses all requests.
    pub fn start(
        settings: TrafficSettings,
        snapshots: watch::Receiver<Arc<RoutingSnapshot>>,
        claims: Arc<dyn ClaimGate>,
        observations: ObservationSink,
        logger: Logger,
    ) -> Result<Self, NodeError> {
        let listener = bind(settings.listen)?;
        let address = local_address(&listener, settings.listen)?;
        let thread_count = settings.threads.max(1);
        let context = Arc::new(new_context(settings, claims, observations, &logger));
        publish(&context, &snapshots.borrow());
        let mut node = Self {
            address,
            context,
            shutdown: CancellationToken::new(),
            abort: CancellationToken::new(),
            threads: Vec::new(),
        };
        let (senders, receivers): (Vec<_>, Vec<_>) =
            (0..thread_count).map(|_| unbounded_channel()).unzip();
        let mut first = Some((listener, senders, snapshots));
        for (number, connections) in receivers.into_iter().enumerate() {
            node.start_thread(number, connections, first.take())?;
        }
        info!(node.context.logger, "traffic_started"; "listen" => address.to_string(),
            "threads" => thread_count);
        Ok(node)
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether callers should send work here.
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Requests in progress.
    pub fn active_requests(&self) -> usize {
        self.context.gate.active()
    }

    /// How an ended request was routed, while it is among the last ones.
    pub fn explain(&self, request: &RequestId) -> Option<RequestTrace> {
        self.context.traces.find(request)
    }

    /// What operators may learn of its traffic.
    pub fn insight(&self) -> Arc<dyn TrafficInsight> {
        Arc::new(ContextInsight::new(self.context.clone()))
    }

    /// The registry of its metrics, to which the control thread may add its own.
    pub fn metrics_registry(&self) -> &prometheus::Registry {
        self.context.metrics.registry()
    }

    /// Feeds the dispatcher an event that does not come from a request, such as a load report.
    pub fn dispatch_event(&self, event: DispatchEvent) {
        self.context.dispatch.handle(event);
    }

    /// Enforces limits of tenants from now on. Messages to the banks of the limits go to `sends`;
    /// their answers are to be given to the feed returned.
    pub fn limit_tenants(&self, sends: tokio::sync::mpsc::Sender<LimitEnvelope>) -> DispatchFeed {
        let node = self.context.settings.node.clone();
        self.context.dispatch.limit_tenants(node, sends);
        DispatchFeed::new(self.context.clone())
    }

    /// Refuses new work from now on, as not run; requests in progress go on.
    pub fn begin_stop(&self) {
        self.context.gate.begin_stop();
        info!(self.context.logger, "stop_began"; "active" => self.context.gate.active());
    }

    /// Stops as planned: refuses new work, waits for every request in progress, then closes.
    pub async fn stop(mut self) {
        self.begin_stop();
        self.context.gate.wait_stopped().await;
        self.shutdown.cancel();
        let threads = std::mem::take(&mut self.threads);
        let joined = tokio::task::spawn_blocking(move || join_all(threads));
        let _ = joined.await;
        info!(self.context.logger, "stopped");
    }

    /// Stops at once: cuts every connection, as a crash would.
    pub fn kill(mut self) {
        self.abort.cancel();
        join_all(std::mem::take(&mut self.threads));
    }

    fn start_thread(
        &mut self,
        number: usize,
        connections: UnboundedReceiver<std::net::TcpStream>,
        first: Option<FirstThread>,
    ) -> Result<(), NodeError> {
        let context = self.context.clone();
        let shutdown = self.shutdown.clone();
        let abort = self.abort.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| NodeError::Thread { source })?;
        let run = move || {
            let run = run_thread(context, shutdown, connections, first);
            runtime.block_on(abort.run_until_cancelled(run));
            // Tasks that outlived the stop (cancel requests to back ends) get no more time.
            runtime.shutdown_timeout(Duration::ZERO);
        };
        let thread = std::thread::Builder::new()
            .name(format!("traffic-{number}"))
            .spawn(run)
            .map_err(|source| NodeError::Thread { source })?;
        self.threads.push(thread);
        Ok(())
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.abort.cancel();
    }
}

type FirstThread = (
    TcpListener,
    Vec<UnboundedSender<std::net::TcpStream>>,
    watch::Receiver<Arc<RoutingSnapshot>>,
);

async fn run_thread(
    context: Arc<TrafficContext>,
    shutdown: CancellationToken,
    connections: UnboundedReceiver<std::net::TcpStream>,
    first: Option<FirstThread>,
) {
    // The first thread also accepts connections, feeds snapshots and gives the dispatcher time.
    if let Some((listener, workers, snapshots)) = first {
        let acceptor = Acceptor::new(context.clone(), listener, workers);
        tokio::spawn(acceptor.run(shutdown.clone()));
        tokio::spawn(SnapshotFeed::new(context.clone(), snapshots).run());
        tokio::spawn(Ticker::new(context.clone()).run());
    }
    Worker::new(context).run(connections, shutdown).await;
}

fn join_all(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        let _ = thread.join();
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        SockRef::from(&listener).listen(MAX_WAITING)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|source| NodeError::Listen { address, source })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, NodeError> {
    let local = listener.local_addr();
    local.map_err(|source| NodeError::Listen { address, source })
}

fn new_context(
    settings: TrafficSettings,
    claims: Arc<dyn ClaimGate>,
    observations: ObservationSink,
    logger: &Logger,
) -> TrafficContext {
    let dispatch = DispatchHandle::new(
        settings.data_centre.clone(),
        settings.zone.clone(),
        settings.seed,
        Clock::start(),
    );
    TrafficContext {
        logger: logger.new(o!("node" => settings.node.to_string())),
        dispatch,
        view: ArcSwap::default(),
        gate: Arc::new(ActivityGate::new(settings.max_active_requests)),
        claims,
        observations,
        bodies: Arc::new(BodyBudget::new(settings.max_held_body_bytes)),
        metrics: TrafficMetrics::new(),
        traces: TraceRing::new(settings.trace_capacity),
        live: LiveTraffic::default(),
        settings,
    }
}

/// Puts a snapshot in force: first for the dispatcher, then for intake, so that no request is let
/// in for a pool its dispatcher does not know.
pub(super) fn publish(context: &TrafficContext, snapshot: &Arc<RoutingSnapshot>) {
    let view = RoutingView::new(snapshot);
    context.metrics.config_version.set(view.version.0 as i64);
    let event = DispatchEvent::SnapshotPublished(snapshot.clone());
    context.dispatch.handle(event);
    context.view.store(Arc::new(view));
    let back_ends = &snapshot.catalog.back_ends;
    context
        .observations
        .retain(|name| back_ends.contains_key(name));
    context.live.retain(|name| back_ends.contains_key(name));
}
