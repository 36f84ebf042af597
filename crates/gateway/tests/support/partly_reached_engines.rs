//! Engines that some nodes reach and others don't.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::{BackEndName, FencingNumber};
use ryerouter_gateway::rollout::{EngineOrders, EngineReport, OrderOutcome, WeightsOrder};
use tokio::time::{Instant, sleep};

use super::test_dialect::MODEL;

const LOAD_TIME: Duration = Duration::from_millis(600);
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// A question without an answer is given up after this time.
const REPORT_LIMIT: Duration = Duration::from_millis(500);
const ORDER_LIMIT: Duration = Duration::from_millis(700);

/// An order that reached its engine.
#[derive(Debug, Clone, Copy)]
pub struct TakenOrder {
    pub node: usize,
    pub fence: FencingNumber,
    pub at: Instant,
}

#[derive(Debug, Default)]
struct LoadingEngine {
    orders_taken: u64,
    /// Version, and from when on the engine has it.
    load: Option<(u64, Instant)>,
}

/// Engines that some nodes reach and others don't.
pub struct PartlyReachedEngines {
    /// Whether a node has a path to an engine, by their numbers.
    is_reached: RefCell<Box<dyn Fn(usize, usize) -> bool>>,
    engines: RefCell<BTreeMap<BackEndName, LoadingEngine>>,
    /// Questions of each node.
    pub questions: RefCell<BTreeMap<usize, usize>>,
    pub orders: RefCell<Vec<TakenOrder>>,
    /// Engines answer reports and reject all orders.
    pub rejects_orders: Cell<bool>,
}

impl PartlyReachedEngines {
    pub fn new(is_reached: impl Fn(usize, usize) -> bool + 'static) -> Rc<Self> {
        Rc::new(Self {
            is_reached: RefCell::new(Box::new(is_reached)),
            engines: RefCell::default(),
            questions: RefCell::default(),
            orders: RefCell::default(),
            rejects_orders: Cell::new(false),
        })
    }

    pub fn name(index: usize) -> BackEndName {
        BackEndName::new(format!("e{index:02}"))
    }

    /// How many engines have newer weights than at first.
    pub fn loaded(&self) -> usize {
        let engines = self.engines.borrow();
        let loads = engines.values().filter_map(|engine| engine.load);
        loads.filter(|(_, from)| *from <= Instant::now()).count()
    }

    /// The nodes that gave orders, one after the other.
    pub fn holders(&self) -> Vec<usize> {
        let orders = self.orders.borrow();
        let mut holders: Vec<_> = orders.iter().map(|order| order.node).collect();
        holders.dedup();
        holders
    }

    pub fn questions_of(&self, node: usize) -> usize {
        self.questions
            .borrow()
            .get(&node)
            .copied()
            .unwrap_or_default()
    }

    fn reaches(&self, node: usize, engine: &BackEndName) -> bool {
        let index = engine.as_str()[1..].parse().expect("number");
        (self.is_reached.borrow())(node, index)
    }

    fn take(&self, node: usize, order: &WeightsOrder, fence: FencingNumber) -> OrderOutcome {
        if self.rejects_orders.get() {
            return OrderOutcome::Rejected;
        }
        let now = Instant::now();
        let mut engines = self.engines.borrow_mut();
        let engine = engines.entry(order.engine.clone()).or_default();
        if engine.orders_taken != order.expected_orders {
            return OrderOutcome::Conflict;
        }
        engine.orders_taken += 1;
        engine.load = Some((order.version, now + LOAD_TIME));
        let taken = TakenOrder {
            node,
            fence,
            at: now,
        };
        self.orders.borrow_mut().push(taken);
        OrderOutcome::Accepted
    }

    fn report(&self, engine: &BackEndName) -> EngineReport {
        let now = Instant::now();
        let engines = self.engines.borrow();
        let known = engines.get(engine);
        let load = known.and_then(|known| known.load);
        let loaded = load.filter(|(_, from)| *from <= now);
        let version = loaded.map_or(1, |(version, _)| version);
        EngineReport {
            weights: [(MODEL.to_owned(), version)].into(),
            is_busy: load.is_some_and(|(_, from)| now < from),
            orders_taken: known.map_or(0, |known| known.orders_taken),
            incarnation: None,
        }
    }
}

/// One node's way to the engines.
pub struct EnginePaths {
    pub node: usize,
    pub engines: Rc<PartlyReachedEngines>,
}

impl EngineOrders for EnginePaths {
    fn order(
        &self,
        _address: SocketAddr,
        order: WeightsOrder,
        fence: FencingNumber,
    ) -> LocalBoxFuture<'_, OrderOutcome> {
        async move {
            if !self.engines.reaches(self.node, &order.engine) {
                sleep(ORDER_LIMIT).await;
                return OrderOutcome::Unknown;
            }
            sleep(ANSWER_TIME).await;
            self.engines.take(self.node, &order, fence)
        }
        .boxed_local()
    }

    fn report(
        &self,
        engine: BackEndName,
        _address: SocketAddr,
    ) -> LocalBoxFuture<'_, Option<EngineReport>> {
        async move {
            *self
                .engines
                .questions
                .borrow_mut()
                .entry(self.node)
                .or_default() += 1;
            if !self.engines.reaches(self.node, &engine) {
                sleep(REPORT_LIMIT).await;
                return None;
            }
            sleep(ANSWER_TIME).await;
            Some(self.engines.report(&engine))
        }
        .boxed_local()
    }
}
