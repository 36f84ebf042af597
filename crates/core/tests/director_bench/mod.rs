//! An order director before engines that take orders.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{BackEnd, BackEndState, Catalog, Pool, PoolKind};
use ryerouter_core::config::{Change, Expectation, LogEntry, Mutation, Resource};
use ryerouter_core::identity::{
    AdapterName, BackEndName, ChangeId, FencingNumber, Incarnation, PoolName, ResourceVersion,
    WeightsVersion,
};
use ryerouter_core::order::{
    DirectorAction, DirectorEvent, DirectorSettings, EngineOrder, EngineReport, EngineRole,
    FencedOrder, HeldLease, OrderAnswer, OrderDirector,
};

const STEP: Duration = Duration::from_millis(100);
const START: Timestamp = Timestamp::from_millis(1_000_000);
const LOAD_TIME: Duration = Duration::from_millis(600);
const LEASE_TIME: Duration = Duration::from_secs(10);
const POOL: &str = "appraiser";

/// An engine that carries out orders.
struct Engine {
    incarnation: u64,
    weights: WeightsVersion,
    loading: Option<(WeightsVersion, Timestamp)>,
    adapters: BTreeSet<AdapterName>,
    draining: bool,
    newest_number: FencingNumber,
}

pub struct DirectorBench {
    director: OrderDirector,
    engines: Vec<Engine>,
    catalog: Catalog,
    number: FencingNumber,
    renewing: bool,
    load_time: Duration,
    lose_every: usize,
    /// Engines that neither polls nor orders reach.
    unreachable: BTreeSet<usize>,
    orders: usize,
    most_loads: usize,
    fewest_of_use: usize,
    superseded: bool,
    changes: usize,
    now: Timestamp,
}

fn engine_name(index: usize) -> BackEndName {
    BackEndName::new(format!("engine-{index:02}"))
}

fn index_of(name: &BackEndName) -> usize {
    name.as_str()["engine-".len()..].parse().expect("an engine")
}

impl DirectorBench {
    pub fn new(engines: usize, loads_at_once: u32, weights: WeightsVersion) -> Self {
        let mut bench = Self {
            director: OrderDirector::new(DirectorSettings::default()),
            engines: (0..engines).map(|_| Engine::started(1, weights)).collect(),
            catalog: Catalog::default(),
            number: FencingNumber(1),
            renewing: true,
            load_time: LOAD_TIME,
            lose_every: 0,
            unreachable: BTreeSet::new(),
            orders: 0,
            most_loads: 0,
            fewest_of_use: engines,
            superseded: false,
            changes: 0,
            now: START,
        };
        let pool = Pool {
            name: PoolName::new(POOL),
            kind: PoolKind::Model {
                model: "appraiser-llm".into(),
                weights_version: weights,
                adapters: Vec::new(),
                weight_loads_at_once: loads_at_once,
            },
            kv_store: None,
            version: ResourceVersion(0),
        };
        let mut resources = vec![Resource::Pool(pool)];
        resources.extend((0..engines).map(|index| Resource::BackEnd(back_end(index))));
        bench.put(resources);
        bench
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(STEP);
            self.finish_loads();
            if self.renewing {
                self.renew();
            }
            self.event(DirectorEvent::Tick);
            self.observe();
        }
    }

    /// Time in which the director does not run.
    pub fn skip(&mut self, duration: Duration) {
        self.now = self.now.after(duration);
        self.finish_loads();
    }

    pub fn set_weights(&mut self, weights: WeightsVersion) {
        self.change_pool(|kind| {
            if let PoolKind::Model {
                weights_version, ..
            } = kind
            {
                *weights_version = weights;
            }
        });
    }

    pub fn add_adapter(&mut self, name: &str) {
        self.change_pool(|kind| {
            if let PoolKind::Model { adapters, .. } = kind {
                adapters.push(AdapterName::new(name));
            }
        });
    }

    pub fn drain(&mut self, index: usize, draining: bool) {
        let mut back_end = back_end(index);
        if draining {
            back_end.state = BackEndState::Draining;
        }
        self.put(vec![Resource::BackEnd(back_end)]);
    }

    pub fn restart_engine(&mut self, index: usize) {
        let incarnation = self.engines[index].incarnation + 1;
        self.engines[index] = Engine::started(incarnation, WeightsVersion(0));
        self.event(DirectorEvent::IncarnationSeen {
            back_end: engine_name(index),
            incarnation: Incarnation(incarnation),
        });
    }

    pub fn load_time(&mut self, load_time: Duration) {
        self.load_time = load_time;
    }

    pub fn lose_answers(&mut self, every: usize) {
        self.lose_every = every;
    }

    /// The first engines can't be reached from now on; with 0 all can again.
    pub fn cut(&mut self, count: usize) {
        self.unreachable = (0..count).collect();
    }

    pub fn lose_lease(&mut self) {
        self.renewing = false;
        self.event(DirectorEvent::LeaseChanged(None));
    }

    pub fn stop_renewing(&mut self) {
        self.renewing = false;
    }

    /// Another process takes the lease; its director knows nothing yet.
    pub fn change_holder(&mut self) {
        self.number = self.number.next();
        self.director = OrderDirector::new(DirectorSettings::default());
        let catalog = Arc::new(self.catalog.clone());
        self.event(DirectorEvent::CatalogChanged(catalog));
    }

    pub fn engines_saw_newer_number(&mut self) {
        for engine in &mut self.engines {
            engine.newest_number = FencingNumber(99);
        }
    }

    pub fn serving(&self, weights: WeightsVersion) -> usize {
        let serves = |engine: &&Engine| engine.serves(weights);
        self.engines.iter().filter(serves).count()
    }

    pub fn has_adapter(&self, index: usize, name: &str) -> bool {
        self.engines[index]
            .adapters
            .contains(&AdapterName::new(name))
    }

    pub fn is_draining(&self, index: usize) -> bool {
        self.engines[index].draining
    }

    pub fn rollout_share(&self) -> Option<u16> {
        let rollout = self.catalog.rollouts.get(&PoolName::new(POOL));
        rollout.map(|rollout| rollout.share_permille)
    }

    pub fn most_loads(&self) -> usize {
        self.most_loads
    }

    pub fn fewest_of_use(&self) -> usize {
        self.fewest_of_use
    }

    pub fn orders(&self) -> usize {
        self.orders
    }

    pub fn was_superseded(&self) -> bool {
        self.superseded
    }

    fn change_pool(&mut self, change: impl FnOnce(&mut PoolKind)) {
        let mut pool = self.catalog.pools[&PoolName::new(POOL)].clone();
        change(&mut pool.kind);
        self.put(vec![Resource::Pool(pool)]);
    }

    fn put(&mut self, resources: Vec<Resource>) {
        let mutations = resources
            .into_iter()
            .map(|resource| Mutation::Put {
                resource,
                expected: Expectation::Any,
            })
            .collect();
        self.accept(Change {
            change_id: ChangeId::new("operator"),
            author: "operator".to_owned(),
            mutations,
        });
    }

    fn accept(&mut self, change: Change) {
        self.changes += 1;
        let entry = LogEntry {
            version: self.catalog.version.next(),
            written_at: self.now,
            change,
        };
        entry.apply_to(&mut self.catalog);
        let catalog = Arc::new(self.catalog.clone());
        self.event(DirectorEvent::CatalogChanged(catalog));
    }

    fn renew(&mut self) {
        let lease = HeldLease {
            fencing_number: self.number,
            valid_until: self.now.after(LEASE_TIME),
        };
        self.event(DirectorEvent::LeaseChanged(Some(lease)));
    }

    fn event(&mut self, event: DirectorEvent) {
        let mut actions = Vec::new();
        self.director.handle(event, self.now, &mut actions);
        for action in actions {
            match action {
                DirectorAction::Poll { back_end, .. } => {
                    let index = index_of(&back_end);
                    let is_reachable = !self.unreachable.contains(&index);
                    let report = is_reachable.then(|| self.engines[index].report());
                    self.event(DirectorEvent::Reported { back_end, report });
                }
                DirectorAction::Order {
                    back_end, order, ..
                } => self.carry_out(back_end, order),
                DirectorAction::Propose(change) => self.accept(change),
                DirectorAction::Superseded(_) => {
                    self.superseded = true;
                    self.renewing = false;
                }
            }
        }
    }

    fn carry_out(&mut self, back_end: BackEndName, order: FencedOrder) {
        self.orders += 1;
        let index = index_of(&back_end);
        if self.unreachable.contains(&index) {
            let answer = OrderAnswer::Lost;
            self.event(DirectorEvent::OrderAnswered { back_end, answer });
            return;
        }
        let answer = self.engines[index].take(order, self.now.after(self.load_time));
        let lost = self.lose_every > 0 && self.orders.is_multiple_of(self.lose_every);
        let answer = if lost { OrderAnswer::Lost } else { answer };
        self.event(DirectorEvent::OrderAnswered { back_end, answer });
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            if let Some((weights, done_at)) = engine.loading
                && now >= done_at
            {
                engine.weights = weights;
                engine.loading = None;
            }
        }
    }

    fn observe(&mut self) {
        let loads = self
            .engines
            .iter()
            .filter(|engine| engine.loading.is_some());
        let loads = loads.count();
        self.most_loads = self.most_loads.max(loads);
        self.fewest_of_use = self.fewest_of_use.min(self.engines.len() - loads);
    }
}

impl Engine {
    fn started(incarnation: u64, weights: WeightsVersion) -> Self {
        Self {
            incarnation,
            weights,
            loading: None,
            adapters: BTreeSet::new(),
            draining: false,
            newest_number: FencingNumber(0),
        }
    }

    fn serves(&self, weights: WeightsVersion) -> bool {
        self.loading.is_none() && self.weights == weights
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: Incarnation(self.incarnation),
            weights_version: self.weights,
            draining: self.draining,
        }
    }

    fn take(&mut self, order: FencedOrder, loaded_at: Timestamp) -> OrderAnswer {
        if order.fencing_number < self.newest_number {
            let newest = self.newest_number;
            return OrderAnswer::Superseded { newest };
        }
        self.newest_number = order.fencing_number;
        match order.order {
            EngineOrder::LoadWeights { weights_version } => {
                self.loading = Some((weights_version, loaded_at));
            }
            EngineOrder::LoadAdapter { adapter } => {
                self.adapters.insert(adapter);
            }
            EngineOrder::SetRole { role } => self.draining = role == EngineRole::Draining,
        }
        OrderAnswer::Accepted
    }
}

fn back_end(index: usize) -> BackEnd {
    BackEnd {
        name: engine_name(index),
        pool: PoolName::new(POOL),
        address: format!("127.0.0.1:{}", 9_000 + index)
            .parse()
            .expect("an address"),
        data_centre: "kingston".into(),
        zone: "zone-0".into(),
        state: BackEndState::Active,
        version: ResourceVersion(0),
    }
}
