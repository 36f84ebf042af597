//! The control side of a node under test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use prometheus::IntCounter;
use ryerouter_core::identity::{
    ConfigVersion, DataCentreName, Incarnation, NodeName, RegionName, ZoneName,
};
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_node::clock::Clock;
use ryerouter_node::control::{BoundControl, ControlHandle, ControlOptions, ControlThread};
use ryerouter_node::peer::{PeerMetrics, PeerTls};
use ryerouter_node::platform::PlatformLimits;
use ryerouter_node::reload::NothingToReload;
use ryerouter_node::rpc::{NoTraffic, OperatorAccess, RpcContext, RpcServer};
use ryerouter_wire::generated::v1::configuration_service_client::ConfigurationServiceClient;
use ryerouter_wire::generated::v1::tenant_service_client::TenantServiceClient;
use ryerouter_wire::peer::DatagramSeal;
use slog::{Discard, Logger, o};
use tokio_util::sync::{CancellationToken, DropGuard};
use tonic::transport::Channel;

/// Longest time a test waits for anything; far beyond what a loaded machine needs.
const OVERALL_DEADLINE: Duration = Duration::from_secs(60);

/// The control side of a node under test: control thread and operator RPC.
pub struct TestNode {
    pub control: ControlThread,
    pub rpc_address: SocketAddr,
    pub metrics: PeerMetrics,
    _shutdown: DropGuard,
}

/// How a node under test is started.
pub struct TestNodeOptions {
    pub name: &'static str,
    pub zone: &'static str,
    pub object_api: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub access: OperatorAccess,
    /// Off where tests count versions: the roster of claim keepers is one more change.
    pub may_direct: bool,
    pub peer_tls: Option<PeerTls>,
    pub seal: Option<DatagramSeal>,
}

impl TestNodeOptions {
    pub fn new(name: &'static str, object_api: SocketAddr) -> Self {
        Self {
            name,
            zone: "zone-a",
            object_api,
            seeds: Vec::new(),
            access: OperatorAccess::Open,
            may_direct: false,
            peer_tls: None,
            seal: None,
        }
    }

    pub fn seeds(mut self, seeds: &[SocketAddr]) -> Self {
        self.seeds = seeds.to_vec();
        self
    }

    pub fn may_direct(mut self) -> Self {
        self.may_direct = true;
        self
    }

    pub fn peer_tls(mut self, tls: PeerTls) -> Self {
        self.peer_tls = Some(tls);
        self
    }

    pub fn sealed_with(mut self, key: &[u8]) -> Self {
        self.seal = DatagramSeal::new(&[key]);
        self
    }

    pub fn zone(mut self, zone: &'static str) -> Self {
        self.zone = zone;
        self
    }
}

impl TestNode {
    pub fn start(options: TestNodeOptions) -> Self {
        let logger = Logger::root(Discard, o!());
        let clock = Clock::start();
        let mut bound = BoundControl::bind(control_options(&options)).unwrap();
        if let Some(tls) = options.peer_tls.clone() {
            bound.set_peer_tls(tls);
        }
        if let Some(seal) = options.seal.clone() {
            bound.set_datagram_seal(Arc::new(ArcSwap::from_pointee(seal)));
        }
        let metrics = bound.peer_metrics().clone();
        let control = bound.start(clock, &logger).unwrap();
        let rpc = RpcServer::bind(loopback(), None).unwrap();
        let rpc_address = rpc.address();
        let context = RpcContext {
            node: NodeName::new(options.name),
            control: control.handle().clone(),
            access: Arc::new(ArcSwap::from_pointee(options.access)),
            traffic: Arc::new(NoTraffic),
            reloader: Arc::new(NothingToReload),
            clock,
            logger,
        };
        let shutdown = CancellationToken::new();
        tokio::spawn(rpc.serve(Arc::new(context), shutdown.clone()));
        Self {
            control,
            rpc_address,
            metrics,
            _shutdown: shutdown.drop_guard(),
        }
    }

    pub fn handle(&self) -> &ControlHandle {
        self.control.handle()
    }

    pub async fn until_serving(&self) {
        let mut phases = self.handle().phases();
        let serving = phases.wait_for(|phase| *phase == NodePhase::Serving);
        within_deadline(serving).await.unwrap();
    }

    /// Waits until a version or a later one is in force.
    pub async fn until_version(&self, version: u64) {
        let mut snapshots = self.handle().snapshots();
        let wanted = ConfigVersion(version);
        let in_force = snapshots.wait_for(|snapshot| snapshot.catalog.version >= wanted);
        within_deadline(in_force).await.unwrap();
    }

    /// Waits until a roster of claim keepers is in force.
    pub async fn until_roster(&self) {
        let mut snapshots = self.handle().snapshots();
        let founded =
            snapshots.wait_for(|snapshot| !snapshot.catalog.claim_roster.groups.is_empty());
        within_deadline(founded).await.unwrap();
    }

    pub fn version(&self) -> u64 {
        self.handle().snapshots().borrow().catalog.version.0
    }

    pub async fn channel(&self) -> Channel {
        let uri = format!("http://{}", self.rpc_address);
        let endpoint = Channel::from_shared(uri).unwrap();
        endpoint.connect().await.unwrap()
    }

    pub async fn tenants(&self) -> TenantServiceClient<Channel> {
        TenantServiceClient::new(self.channel().await)
    }

    pub async fn configuration(&self) -> ConfigurationServiceClient<Channel> {
        ConfigurationServiceClient::new(self.channel().await)
    }
}

/// Waits until something was counted, which another thread does a moment after its effect shows.
pub async fn until_counted(counter: &IntCounter) {
    while counter.get() == 0 {
        tokio::task::yield_now().await;
    }
}

/// Waits for something, or fails the test after a generous time.
pub async fn within_deadline<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(OVERALL_DEADLINE, future)
        .await
        .expect("did not happen before the overall deadline of the test")
}

fn control_options(options: &TestNodeOptions) -> ControlOptions {
    ControlOptions {
        name: NodeName::new(options.name),
        incarnation: Incarnation(Clock::start().now().as_millis()),
        region: RegionName::new("region"),
        data_centre: DataCentreName::new("centre"),
        zone: ZoneName::new(options.zone),
        peer_listen: loopback(),
        seeds: options.seeds.clone(),
        object_api: options.object_api,
        machine_list: options.object_api,
        platform_limits: PlatformLimits::default(),
        machine_list_interval: ControlOptions::MACHINE_LIST_INTERVAL,
        may_direct: options.may_direct,
        seed: 7,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
