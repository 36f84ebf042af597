//! Nodes before engines of several software versions, and callers that take up streams again.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use ryerouter_core::identity::{PoolName, TenantName, ZoneName};
use ryerouter_gateway::catalogue::{
    CallerLimits, PoolProfile, RequestKind, Route, RoutingTable, Tenant,
};
use ryerouter_gateway::continuation::{StoreSettings, sync_continuations};
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::peers::run_peer_link;
use ryerouter_gateway::release::run_releases;
use ryerouter_gateway::source::{FollowSettings, Item, ItemKind};
use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::sleep;

use super::continuation_records::ContinuationRecords;
use super::cut_socket::CutSocket;
use super::fleet::introduce;
use super::gateway_bench::{GatewayBench, gateway_with, gateway_with_log, list_engines};
use super::log_lines::LogLines;
use super::records::{POOL, route, tenant};
use super::release_node::bounds;
use super::release_orders::{OrdersWay, ReleaseOrders};
use super::signalling::settings_of;
use super::test_dialect::{AFTER, ID, KEY, PARTS, RESUMES};
use super::versioned_engines::{EVENTS, VersionedEngine};

/// Age of the list that a node reads first, if that is an old one.
const AGE_OF_OLD_LIST: Duration = Duration::from_secs(3);
/// How often each node reads the list of engines.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// How often a node writes the records of a shard.
const STORE_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts of one request: enough for engines that break off every answer.
const MAX_ATTEMPTS: u32 = 8;
/// How nodes follow orders of releases.
const FOLLOWING: FollowSettings = FollowSettings {
    watch: Duration::from_secs(15),
    answer: Duration::from_millis(1_500),
    longest_pause: Duration::from_millis(600),
};

/// How a node is started.
struct Start<'a> {
    is_first_start: bool,
    /// Whether it is of a build that knows nothing of stored records.
    is_former: bool,
    /// The list that it reads first, if that is an old one.
    old_list: Option<Vec<EngineEntry>>,
    lines: &'a LogLines,
}

/// One node.
pub struct VersionedNode {
    pub bench: GatewayBench,
    /// The list of engines that it reads.
    pub list: Rc<RefCell<Vec<EngineEntry>>>,
    /// Where its datagrams are lost.
    unreachable: Rc<RefCell<BTreeSet<SocketAddr>>>,
    listing: JoinHandle<()>,
    /// Tasks that end with the node.
    _tasks: JoinSet<()>,
}

impl VersionedNode {
    /// The node can't read the list any more.
    pub fn stop_listing(&self) {
        self.listing.abort();
    }

    async fn start(
        index: usize,
        incarnation: u64,
        table: RoutingTable,
        entries: Vec<EngineEntry>,
        store: Rc<ContinuationRecords>,
        orders: Option<Rc<ReleaseOrders>>,
        how: Start<'_>,
    ) -> Self {
        let datagrams = UdpSocket::bind("127.0.0.1:0").await.expect("bind");
        let mut own = settings_of(index);
        own.identity.incarnation = incarnation;
        // How much work the engines do is not known here, so nothing can be said of their load.
        own.sheds_load = false;
        own.releases = orders.is_some().then(bounds);
        own.identity.zone = ZoneName::new(format!("zone-{}", index % 3));
        own.identity.peer_address = datagrams.local_addr().expect("address");
        let gateway = gateway_with_log(own, how.lines);
        let bench = match how.old_list {
            None => GatewayBench::serve(gateway, Some(table), entries.clone()).await,
            Some(old_list) => {
                let items = old_list.into_iter().map(Item::Engine).collect();
                let read_at = gateway.clock().now().before(AGE_OF_OLD_LIST);
                gateway.replace_items(ItemKind::Engines, items, read_at);
                GatewayBench::serve_unlisted(gateway, Some(table)).await
            }
        };
        let gateway = Rc::clone(&bench.gateway);
        let list = Rc::new(RefCell::new(entries));
        let mut tasks = JoinSet::new();
        let unreachable: Rc<RefCell<BTreeSet<SocketAddr>>> = Rc::default();
        let socket = CutSocket {
            socket: datagrams,
            unreachable: Rc::clone(&unreachable),
            is_former: how.is_former,
        };
        tasks.spawn_local(run_peer_link(Rc::clone(&gateway), socket));
        let settings = StoreSettings {
            write_interval: STORE_WRITE_INTERVAL,
            is_first_start: how.is_first_start,
        };
        if !how.is_former {
            tasks.spawn_local(sync_continuations(Rc::clone(&gateway), store, settings));
        }
        if let Some(orders) = orders {
            let way = Rc::new(OrdersWay(orders));
            tasks.spawn_local(run_releases(Rc::clone(&gateway), way, FOLLOWING));
        }
        let listed = Rc::clone(&list);
        let listing = spawn_local(async move {
            loop {
                sleep(LIST_INTERVAL).await;
                list_engines(&gateway, listed.borrow().clone());
            }
        });
        Self {
            bench,
            list,
            unreachable,
            listing,
            _tasks: tasks,
        }
    }
}

impl Drop for VersionedNode {
    fn drop(&mut self) {
        self.listing.abort();
    }
}

/// Nodes that know each other, before the same engines.
pub struct VersionedNodes {
    pub nodes: RefCell<Vec<Rc<VersionedNode>>>,
    pub engines: RefCell<Vec<VersionedEngine>>,
    /// What they keep of versions and streams.
    pub store: Rc<ContinuationRecords>,
    /// Orders of releases that nodes follow which are started from now on.
    pub orders: RefCell<Option<Rc<ReleaseOrders>>>,
    /// What all of them write to their logs.
    pub lines: LogLines,
    route: Route,
    tenants: Vec<Tenant>,
    started: Cell<u64>,
    engines_started: Cell<u64>,
    streams: Cell<u64>,
    /// Whether the nodes are started for the first time.
    pub is_first_start: Cell<bool>,
    /// Nodes that are of a former build from their next start on, which knows nothing of stored records.
    pub former: RefCell<BTreeSet<usize>>,
    /// The list that nodes read first from their next start on, if that is an old one.
    pub old_list: RefCell<Option<Vec<EngineEntry>>>,
}

impl VersionedNodes {
    /// So many nodes before two engines of each version.
    pub async fn start(nodes: usize, versions: &[&str]) -> Self {
        let mut route = route(RequestKind::Streaming);
        route.max_attempts = MAX_ATTEMPTS;
        Self::start_with(nodes, versions, route, vec![tenant()]).await
    }

    /// The same with two tenants, whose keys are `key-1` and `key-2`.
    pub async fn start_with_tenants(nodes: usize, versions: &[&str]) -> Self {
        let mut route = route(RequestKind::Streaming);
        route.is_public = false;
        let second = Tenant {
            name: TenantName::new("tenant-2"),
            keys: vec!["key-2".to_owned()],
            ..tenant()
        };
        Self::start_with(nodes, versions, route, vec![tenant(), second]).await
    }

    async fn start_with(
        nodes: usize,
        versions: &[&str],
        route: Route,
        tenants: Vec<Tenant>,
    ) -> Self {
        let all = Self {
            nodes: RefCell::default(),
            engines: RefCell::default(),
            store: Rc::default(),
            orders: RefCell::default(),
            lines: LogLines::default(),
            route,
            tenants,
            started: Cell::new(0),
            engines_started: Cell::new(0),
            streams: Cell::new(0),
            is_first_start: Cell::new(true),
            former: RefCell::default(),
            old_list: RefCell::default(),
        };
        for version in versions {
            all.start_engine(version).await;
            all.start_engine(version).await;
        }
        for index in 0..nodes {
            let node = all.start_node(index).await;
            all.nodes.borrow_mut().push(node);
        }
        all.is_first_start.set(false);
        introduce(&all.gateways());
        all
    }

    /// Starts an engine of a version; nodes learn of it from the list, see [`Self::list`].
    pub async fn start_engine(&self, version: &str) {
        self.engines_started.set(self.engines_started.get() + 1);
        let name = format!("e{}", self.engines_started.get());
        let engine = VersionedEngine::start(&name, version).await;
        self.engines.borrow_mut().push(engine);
    }

    /// An engine crashes, and its entry stays for a time; another one of a new name takes its place after that.
    pub async fn crash_engine(self: &Rc<Self>, number: usize, back_after: Duration) {
        let count = self.engines.borrow().len();
        let crashed = self.engines.borrow_mut().remove(number % count);
        crashed.crash();
        let software = crashed.software.clone();
        let nodes = Rc::clone(self);
        spawn_local(async move {
            sleep(back_after).await;
            let pause = crashed.behaviour().event_pause.get();
            nodes.start_engine(&software).await;
            if let Some(engine) = nodes.engines.borrow().last() {
                engine.behaviour().event_pause.set(pause);
            }
            nodes.list();
        });
    }

    async fn start_node(&self, index: usize) -> Rc<VersionedNode> {
        self.started.set(self.started.get() + 1);
        let incarnation = 1_000 + self.started.get();
        let pool = PoolProfile {
            name: PoolName::new(POOL),
            most_connections: 100,
            engine: None,
        };
        let routes = vec![self.route.clone()];
        let tenants = (!self.tenants.is_empty()).then(|| self.tenants.clone());
        let limits = CallerLimits::default();
        let table = RoutingTable::new(1, routes, vec![pool], Vec::new(), tenants, limits);
        let entries = self.entries();
        let store = Rc::clone(&self.store);
        let orders = self.orders.borrow().clone();
        let how = Start {
            is_first_start: self.is_first_start.get(),
            is_former: self.former.borrow().contains(&index),
            old_list: self.old_list.borrow().clone(),
            lines: &self.lines,
        };
        let node = VersionedNode::start(index, incarnation, table, entries, store, orders, how);
        Rc::new(node.await)
    }

    /// Starts a node that no other one knows, and that can't hear them.
    pub async fn start_alone(&self, index: usize) -> Rc<VersionedNode> {
        let node = self.start_node(index).await;
        // It knows of another node, which does not answer.
        let stranger = gateway_with(settings_of(index + 1));
        let introduction = stranger.peer_message(true);
        node.bench.gateway.receive_peer_message(introduction);
        node
    }

    /// The entries of all engines.
    pub fn entries(&self) -> Vec<EngineEntry> {
        let engines = self.engines.borrow();
        engines.iter().map(VersionedEngine::entry).collect()
    }

    /// Every node reads the list of all engines from now on.
    pub fn list(&self) {
        for node in self.nodes.borrow().iter() {
            self.list_at(node, self.entries());
        }
    }

    /// One node reads this list from now on.
    pub fn list_at(&self, node: &VersionedNode, entries: Vec<EngineEntry>) {
        *node.list.borrow_mut() = entries.clone();
        list_engines(&node.bench.gateway, entries);
    }

    /// Kills some nodes at once and starts them again.
    pub async fn restart(&self, indexes: &[usize]) {
        let mut started = Vec::new();
        for index in indexes {
            started.push((*index, self.start_node(*index).await));
        }
        for (index, node) in started {
            self.nodes.borrow_mut()[index] = node;
        }
        introduce(&self.gateways());
    }

    /// Cuts some nodes off from the others, and from the list of engines.
    pub fn cut_off(&self, indexes: &[usize]) {
        let nodes = self.nodes.borrow();
        let address = |index: usize| nodes[index].bench.gateway.settings().identity.peer_address;
        for (index, node) in nodes.iter().enumerate() {
            let is_cut = indexes.contains(&index);
            let beyond = (0..nodes.len()).filter(|other| indexes.contains(other) != is_cut);
            node.unreachable.borrow_mut().extend(beyond.map(address));
            if is_cut {
                node.stop_listing();
            }
        }
    }

    pub fn gateways(&self) -> Vec<Rc<Gateway>> {
        let nodes = self.nodes.borrow();
        let all = nodes.iter();
        all.map(|node| Rc::clone(&node.bench.gateway)).collect()
    }

    /// The node of a number.
    pub fn node(&self, index: usize) -> Rc<VersionedNode> {
        let nodes = self.nodes.borrow();
        Rc::clone(&nodes[index % nodes.len()])
    }

    /// A stream that nobody has asked for yet.
    pub fn new_stream(&self) -> Stream {
        self.streams.set(self.streams.get() + 1);
        Stream {
            name: format!("s{}", self.streams.get()),
            ..Stream::default()
        }
    }
}

/// How a caller's attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Attempt {
    /// The caller lost its connection, as it meant to.
    Cut,
    /// The stream ended well.
    Whole,
    /// The answer broke off.
    Broken,
    /// The request was refused.
    Refused {
        status: StatusCode,
        retry_after: Option<f64>,
    },
}

/// A stream as its caller sees it, over all of its attempts.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    name: String,
    attempts: u32,
    /// The attempt that brought the first event.
    pub first: Option<String>,
    /// Number of the last event.
    pub last: u32,
    /// Versions that wrote its events.
    pub versions: BTreeSet<String>,
    /// Key of the caller.
    pub key: Option<&'static str>,
    /// Parts of its prompt, before one of its own.
    pub parts: Option<&'static str>,
    /// What the last refusal said.
    pub refusal: Option<String>,
    /// What the caller names instead of the first attempt, or that it names none.
    pub resumes: Option<Option<String>>,
}

impl Stream {
    /// Another stream, whose caller uses the same ids.
    pub fn begun_again(&self) -> Self {
        Self {
            name: self.name.clone(),
            key: self.key,
            ..Self::default()
        }
    }

    /// Whether two versions have written it.
    pub fn is_mixed(&self) -> bool {
        self.versions.len() > 1
    }

    /// Whether all events have come.
    pub fn is_whole(&self) -> bool {
        self.last == EVENTS
    }

    /// Asks a node for the rest, and loses the connection after so many events.
    pub async fn read(&mut self, node: &VersionedNode, most: u32) -> Attempt {
        self.attempts += 1;
        let id = format!("{}-{}", self.name, self.attempts);
        let last = self.last.to_string();
        let mut headers = vec![(ID, id.as_str())];
        let first = self.resumes.clone().unwrap_or(self.first.clone());
        if self.last > 0 {
            headers.push((AFTER, last.as_str()));
            headers.extend(first.as_ref().map(|first| (RESUMES, first.as_str())));
        }
        headers.extend(self.key.map(|key| (KEY, key)));
        let parts = self.parts.map(|parts| format!("{parts},own-{}", self.name));
        headers.extend(parts.as_ref().map(|parts| (PARTS, parts.as_str())));
        let Ok(response) = node.bench.try_begin("POST", &headers, "").await else {
            return Attempt::Broken;
        };
        let status = response.status();
        if status != StatusCode::OK {
            let retry_after = response.headers().get(RETRY_AFTER);
            let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
            let body = response.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            self.refusal = Some(String::from_utf8_lossy(&body).into_owned());
            return Attempt::Refused {
                status,
                retry_after,
            };
        }
        let mut body = response.into_body();
        let mut text = String::new();
        let mut events = 0;
        while events < most {
            match body.frame().await {
                None => return Attempt::Whole,
                Some(Err(_)) => return Attempt::Broken,
                Some(Ok(frame)) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    text.push_str(&String::from_utf8_lossy(&bytes));
                }
            }
            while let Some((event, rest)) = text.split_once("\n\n") {
                events += 1;
                self.take(&id, event);
                text = rest.to_owned();
            }
        }
        Attempt::Cut
    }

    fn take(&mut self, attempt: &str, event: &str) {
        let (number, version) = event.split_once('\n').expect("two lines");
        let number: u32 = number["id: ".len()..].parse().expect("number");
        assert_eq!(number, self.last + 1, "events come in order, once");
        self.last = number;
        self.first.get_or_insert_with(|| attempt.to_owned());
        self.versions.insert(version["data: ".len()..].to_owned());
    }
}
