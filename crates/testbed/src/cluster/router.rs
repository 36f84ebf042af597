//! One router node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::identity::{ConfigVersion, Incarnation};
use ryerouter_node::clock::Clock;
use ryerouter_node::control::{BoundControl, ControlHandle, ControlThread};
use ryerouter_node::reload::NothingToReload;
use ryerouter_node::rpc::{NoTraffic, OperatorAccess, RpcContext, RpcServer};
use ryerouter_node::traffic::{
    ObservationSink, RunningNode, TrafficSettings, UnavailableClaimGate,
};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::{ClusterError, RouterAddresses, RouterOptions, RouterPlace};

/// Pause before an address is tried again that a killed node still holds.
const BIND_RETRY: Duration = Duration::from_millis(20);
/// Attempts to bind an address.
const BIND_ATTEMPTS: u32 = 100;

/// A router node with its peer address bound and nothing running.
pub struct BoundRouter {
    options: RouterOptions,
    control: BoundControl,
}

/// A running router node: control thread, operator RPC and traffic side.
pub struct Router {
    options: RouterOptions,
    addresses: RouterAddresses,
    control: ControlThread,
    rpc: JoinHandle<()>,
    rpc_stop: CancellationToken,
    traffic: RunningNode,
}

impl BoundRouter {
    /// Binds the address for peers.
    ///
    /// # Errors
    ///
    /// It cannot be bound.
    pub fn bind(options: RouterOptions) -> Result<Self, ClusterError> {
        let control = BoundControl::bind(options.control_options(new_incarnation()))?;
        Ok(Self { options, control })
    }

    /// Where peers reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.control.peer_address()
    }

    /// Starts the node, which asks `seeds` first.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be started.
    pub async fn start(mut self, seeds: Vec<SocketAddr>) -> Result<Router, ClusterError> {
        let peers = self.peer_address();
        self.options.seeds = seeds.clone();
        self.control.set_seeds(seeds);
        let clock = Clock::start();
        let control = self.control.start(clock, &self.options.logger)?;
        let rpc_server = RpcServer::bind(self.options.addresses.operators, None)?;
        let operators = rpc_server.address();
        let rpc_stop = CancellationToken::new();
        let context = rpc_context(&self.options, control.handle().clone(), clock);
        let rpc = tokio::spawn(rpc_server.serve(context, rpc_stop.clone()));
        let traffic = RunningNode::start(
            traffic_settings(&self.options),
            control.handle().snapshots(),
            Arc::new(UnavailableClaimGate),
            ObservationSink::discarding(),
            self.options.logger.clone(),
        )?;
        let addresses = RouterAddresses {
            callers: traffic.address(),
            operators,
            peers,
        };
        Ok(Router {
            options: self.options,
            addresses,
            control,
            rpc,
            rpc_stop,
            traffic,
        })
    }
}

impl Router {
    /// Its name and place.
    pub fn place(&self) -> &RouterPlace {
        &self.options.place
    }

    /// Where it listens.
    pub fn addresses(&self) -> RouterAddresses {
        self.addresses
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.snapshots().borrow().catalog.version
    }

    /// Snapshots as they are published.
    pub fn snapshots(&self) -> watch::Receiver<Arc<RoutingSnapshot>> {
        self.control.handle().snapshots()
    }

    /// Stops it as planned: no request is cut.
    pub async fn stop(self) {
        // The control side hears of the stop first, so that peers learn of it while requests end.
        let handle = self.control.handle().clone();
        let _ = handle.stop().await;
        self.traffic.stop().await;
        self.rpc_stop.cancel();
        let _ = self.rpc.await;
        let _ = handle.traffic_ended().await;
        drop(handle);
        let control = self.control;
        let _ = tokio::task::spawn_blocking(move || control.join()).await;
    }

    /// Ends it at once, as a killed process would, and gives back what it takes to start again at
    /// the same addresses.
    pub async fn kill(self) -> RouterOptions {
        let mut options = self.options;
        options.addresses = self.addresses;
        self.traffic.kill();
        self.rpc.abort();
        let _ = self.rpc.await;
        let control = self.control;
        let _ = tokio::task::spawn_blocking(move || control.join()).await;
        options
    }

    /// Starts a killed node again; it knows nothing of its former life but its addresses.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be started.
    pub async fn restart(options: RouterOptions) -> Result<Self, ClusterError> {
        let seeds = options.seeds.clone();
        for _ in 1..BIND_ATTEMPTS {
            let started = match BoundRouter::bind(options.clone()) {
                Ok(bound) => bound.start(seeds.clone()).await,
                Err(error) => Err(error),
            };
            match started {
                Ok(router) => return Ok(router),
                // The killed node's threads may hold the address for a moment.
                Err(_) => tokio::time::sleep(BIND_RETRY).await,
            }
        }
        BoundRouter::bind(options)?.start(seeds).await
    }
}

fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.unwrap_or_default().as_millis() as u64)
}

fn traffic_settings(options: &RouterOptions) -> TrafficSettings {
    TrafficSettings {
        listen: options.addresses.callers,
        node: options.place.name.clone(),
        data_centre: options.place.data_centre.clone(),
        zone: options.place.zone.clone(),
        threads: options.traffic_threads,
        ..TrafficSettings::default()
    }
}

fn rpc_context(options: &RouterOptions, control: ControlHandle, clock: Clock) -> Arc<RpcContext> {
    Arc::new(RpcContext {
        node: options.place.name.clone(),
        control,
        access: Arc::new(ArcSwap::from_pointee(OperatorAccess::Open)),
        traffic: Arc::new(NoTraffic),
        reloader: Arc::new(NothingToReload),
        clock,
        logger: options.logger.clone(),
    })
}
