//! A gateway that serves on loopback, and its caller.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use ryerouter_core::identity::{NodeName, ZoneName};
use ryerouter_core::quota::Tolerance;
use ryerouter_gateway::catalogue::RoutingTable;
use ryerouter_gateway::connections::OpenConnections;
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::{Gateway, GatewaySettings};
use ryerouter_gateway::memory::MemoryLimits;
use ryerouter_gateway::peers::{Capacity, NodeIdentity};
use ryerouter_gateway::placement::PlacementPrices;
use ryerouter_gateway::retry::RetrySettings;
use ryerouter_gateway::rollout::RolloutSettings;
use ryerouter_gateway::serve::{
    ShutdownSettings, graceful_shutdown, serve_callers, serve_callers_with,
};
use ryerouter_gateway::source::{Item, ItemChange, ItemKind};
use ryerouter_gateway::topology::Topology;
use ryerouter_gateway::upstream::ConnectSettings;
use slog::{Logger, o};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet, LocalSet, spawn_local};

use super::log_lines::LogLines;
use super::poison_records::{self, RECORDS};
use super::records::HOST as TEST_HOST;
use super::test_dialect::{ID, TestDialect};
use super::virtual_time;

/// Runs a test on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let test = RECORDS.scope(Rc::default(), test);
    LocalSet::new().block_on(&runtime, test);
}

/// The same on a virtual clock.
pub fn run_in_virtual_time(test: impl Future<Output = ()>) {
    virtual_time::run(RECORDS.scope(Rc::default(), test));
}

/// The same; for tests without sockets, as the clock runs ahead of what is on its way there.
pub fn run_paused<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Settings of the node `name`.
pub fn settings(name: &str) -> GatewaySettings {
    GatewaySettings {
        identity: NodeIdentity {
            name: NodeName::new(name),
            incarnation: 1,
            peer_address: "127.0.0.1:1".parse().expect("address"),
            caller_address: "127.0.0.1:2".parse().expect("address"),
            zone: ZoneName::new(super::records::ZONE),
            capacity: Capacity::default(),
        },
        topology: Topology::default(),
        seeds: Vec::new(),
        requires_keys: false,
        max_unconfirmed_age: Some(Duration::from_secs(3600)),
        weights_grace: Duration::from_secs(7),
        weights_propagation_time: Duration::from_secs(1),
        assumed_weights_age: Duration::from_secs(5),
        unlisted_grace: Duration::from_secs(3),
        entry_ttl: Duration::from_millis(2_400),
        propagation_limit: Duration::from_secs(3),
        limit_tolerance: Tolerance::default(),
        memory: MemoryLimits::default(),
        sheds_load: true,
        retry: RetrySettings {
            floor: 100.0,
            ..RetrySettings::default()
        },
        connect: ConnectSettings::default(),
        prices: PlacementPrices::default(),
        rollout: RolloutSettings::default(),
        cache_follow_delay: Some(Duration::ZERO),
        max_known_prefixes: 1_000,
        releases: None,
    }
}

/// A gateway without listeners.
pub fn gateway(name: &str) -> Rc<Gateway> {
    gateway_with(settings(name))
}

/// The same with other settings.
pub fn gateway_with(settings: GatewaySettings) -> Rc<Gateway> {
    let log = Logger::root(slog::Discard, o!());
    Gateway::new(settings, Rc::new(TestDialect), log)
}

/// A gateway that writes its log to `lines`.
pub fn gateway_logging_to(lines: &LogLines) -> Rc<Gateway> {
    gateway_with_log(settings("node-1"), lines)
}

/// The same with other settings.
pub fn gateway_with_log(settings: GatewaySettings, lines: &LogLines) -> Rc<Gateway> {
    Gateway::new(settings, Rc::new(TestDialect), lines.logger())
}

/// Gives a gateway its configuration.
pub fn configure(gateway: &Gateway, table: RoutingTable) {
    let change = ItemChange::Present(Item::Configuration(Rc::new(table)));
    let now = gateway.clock().now();
    gateway.apply_changes(ItemKind::Configuration, vec![change], now);
}

/// Gives a gateway the whole list of engines.
pub fn list_engines(gateway: &Gateway, entries: Vec<EngineEntry>) {
    let items = entries.into_iter().map(Item::Engine).collect();
    gateway.replace_items(ItemKind::Engines, items, gateway.clock().now());
}

/// A gateway that serves callers.
pub struct GatewayBench {
    pub gateway: Rc<Gateway>,
    pub address: SocketAddr,
    accepting: RefCell<Option<JoinHandle<()>>>,
    /// Keeps records of requests that are held back as long as the node is there.
    _keeping: JoinSet<()>,
}

/// An answer as its caller got it.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub id: Option<String>,
    pub retry_after: Option<f64>,
    /// `Err` when the body broke off.
    pub body: Result<String, String>,
}

impl GatewayBench {
    /// Serves on a free port.
    pub async fn start(table: Option<RoutingTable>, entries: Vec<EngineEntry>) -> Self {
        Self::start_with(settings("node-1"), table, entries).await
    }

    /// The same with other settings.
    pub async fn start_with(
        settings: GatewaySettings,
        table: Option<RoutingTable>,
        entries: Vec<EngineEntry>,
    ) -> Self {
        Self::serve(gateway_with(settings), table, entries).await
    }

    /// The same with a gateway of the test's own.
    pub async fn serve(
        gateway: Rc<Gateway>,
        table: Option<RoutingTable>,
        entries: Vec<EngineEntry>,
    ) -> Self {
        list_engines(&gateway, entries);
        Self::serve_unlisted(gateway, table).await
    }

    /// The same with a gateway that has read a list of engines already, or none.
    pub async fn serve_unlisted(gateway: Rc<Gateway>, table: Option<RoutingTable>) -> Self {
        if let Some(table) = table {
            configure(&gateway, table);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let keeping = poison_records::keep(&gateway);
        let accepting = spawn_local(serve_callers(Rc::clone(&gateway), listener));
        Self {
            _keeping: keeping,
            gateway,
            address,
            accepting: RefCell::new(Some(accepting)),
        }
    }

    /// Serves at most so many callers' connections at once.
    pub async fn start_bounded(
        most: usize,
        table: Option<RoutingTable>,
        entries: Vec<EngineEntry>,
    ) -> Self {
        let gateway = gateway("node-1");
        if let Some(table) = table {
            configure(&gateway, table);
        }
        list_engines(&gateway, entries);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let connections = OpenConnections::at_most(&gateway, move || most);
        let serving = serve_callers_with(Rc::clone(&gateway), listener, connections);
        Self {
            _keeping: poison_records::keep(&gateway),
            gateway,
            address,
            accepting: RefCell::new(Some(spawn_local(serving))),
        }
    }

    /// Begins a planned stop; the task returned ends with it.
    pub fn stop(&self, settings: ShutdownSettings) -> JoinHandle<()> {
        let gateway = Rc::clone(&self.gateway);
        let accepting = self.accepting.borrow_mut().take().expect("stops once");
        spawn_local(async move { graceful_shutdown(&gateway, accepting, &settings).await })
    }

    /// Sends a request with these headers and reads the answer.
    pub async fn call(&self, method: &str, headers: &[(&str, &str)], body: &str) -> CallerAnswer {
        let response = self.begin(method, headers, body).await;
        let (head, body) = response.into_parts();
        let header = |name: &str| head.headers.get(name)?.to_str().ok().map(str::to_owned);
        let retry_after = header(RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
        let body = match body.collect().await {
            Ok(whole) => Ok(String::from_utf8_lossy(&whole.to_bytes()).into_owned()),
            Err(error) => Err(error.to_string()),
        };
        CallerAnswer {
            status: head.status,
            id: header(ID),
            retry_after,
            body,
        }
    }

    /// Sends a request and returns with the head of the answer.
    pub async fn begin(
        &self,
        method: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<hyper::body::Incoming> {
        let answer = self.try_begin(method, headers, body).await;
        answer.expect("answer")
    }

    /// The same for answers that may break off before their head has been received.
    pub async fn try_begin(
        &self,
        method: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> hyper::Result<Response<hyper::body::Incoming>> {
        let stream = TcpStream::connect(self.address).await.expect("connect");
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io)
            .await
            .expect("handshake");
        spawn_local(async move {
            let _ = connection.await;
        });
        let mut request = Request::builder().method(method).uri("/item/1?x=2");
        request = request.header(HOST, TEST_HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_owned()));
        let request = request.body(body).expect("request");
        sender.send_request(request).await
    }
}
