//! Plans a rollout.

mod answers;
mod begin;
mod standing;

use std::collections::BTreeMap;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation, PoolName};

use super::given_orders::GivenOrders;
use super::open_order::{OpenOrder, OrderStep};
use super::pace::{Pace, Progress};
use super::reach::Reach;
use super::stale_work::StaleWork;
use super::{
    BehindReason, EngineReport, OrderOutcome, RolloutAction, RolloutSettings, RolloutStanding,
    WeightsDeadlines, WeightsOrder,
};
use crate::engines::{Engine, EngineTable, IncarnationOrder};

/// Decides which engine loads when, while this process holds the lease.
///
/// Invariants: an order is given only after the engine told how many it has taken, and carries that
/// number, so an order that comes late never runs beside a newer one; of a pool no more engines are
/// in progress than the settings allow, and once more as many beside engines whose loads are slow. An
/// engine that may be unreachable takes none of these places before it has answered a probe.
#[derive(Debug)]
pub struct RolloutPlanner {
    settings: RolloutSettings,
    open: BTreeMap<BackEndName, OpenOrder>,
    given: GivenOrders,
    /// Engines that can't be ordered now, and until when they are left alone.
    resting: BTreeMap<BackEndName, Timestamp>,
    reach: Reach,
    pace: Pace,
    stale_work: StaleWork,
}

impl RolloutPlanner {
    /// A planner without open orders.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            pace: Pace::new(settings.clone()),
            stale_work: StaleWork::default(),
            settings,
            open: BTreeMap::new(),
            given: GivenOrders::default(),
            resting: BTreeMap::new(),
            reach: Reach::default(),
        }
    }

    /// Another process gives orders now; what was given is only observed.
    pub fn reset(&mut self) {
        for (name, open) in std::mem::take(&mut self.open) {
            self.given.take_over(name, open);
        }
        self.resting.clear();
        self.reach.clear();
        self.stale_work.clear();
    }

    /// So many requests of a pool began on replaced weights, at all nodes.
    pub fn note_stale(&mut self, pool: &PoolName, requests: f64) {
        let lost = requests * self.settings.stale_share;
        self.stale_work.note(pool, lost / self.settings.load_worth);
    }

    /// Appends questions about orders that were given under a lease that is lost.
    pub fn observe(&mut self, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        let longest = self.settings.expected_load * 2;
        self.given.observe(longest, now, actions);
    }

    /// An engine is in this life: an order to the one before is over, since the engine counts its orders
    /// anew and knows nothing of it.
    pub fn forget_other_lives(&mut self, engine: &BackEndName, life: Option<Incarnation>) {
        let known = self.open.get(engine);
        if known.is_some_and(|open| {
            IncarnationOrder::new(open.incarnation, life) != IncarnationOrder::Same
        }) {
            self.open.remove(engine);
            self.resting.remove(engine);
        }
        self.reach.forget(engine);
        self.given.forget_other_lives(engine, life);
    }

    /// Whether no order is in progress.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Appends what is due to `actions`.
    pub fn advance(
        &mut self,
        engines: &EngineTable,
        deadlines: &WeightsDeadlines,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.resting.retain(|_, until| now < *until);
        self.reach.retain(|name| {
            let engine = engines.get(name);
            engine.is_some_and(|engine| is_outdated(engine, deadlines))
        });
        self.close_finished(engines, now, actions);
        self.aim_at_newest(deadlines);
        self.ask_due(now, actions);
        self.order_drained(engines, now, actions);
        for (model, version) in deadlines.newest() {
            self.open_due(model, version, engines, deadlines, now, actions);
        }
    }

    /// Ends what other news have settled: the engine is gone, has begun again, leaves, or has the
    /// weights.
    fn close_finished(
        &mut self,
        engines: &EngineTable,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        let mut loaded = Vec::new();
        self.open.retain(|name, open| {
            let Some(engine) = engines.get(name) else {
                return false;
            };
            if IncarnationOrder::new(open.incarnation, engine.entry.incarnation)
                != IncarnationOrder::Same
            {
                return false;
            }
            let has = engine.weights_of(&open.model);
            if has.is_some_and(|has| has >= open.version) {
                loaded.push(name.clone());
                return true;
            }
            engine.is_in_service() && has.is_some()
        });
        for name in loaded {
            self.finish(&name, now, actions);
        }
    }

    /// Lets orders that are yet to be given, or given again, name the newest version: an engine may be
    /// unable to load the one before.
    fn aim_at_newest(&mut self, deadlines: &WeightsDeadlines) {
        for (model, version) in deadlines.newest() {
            let open = self.open.values_mut();
            let pending = open.filter(|open| open.model == model && open.step.is_pending());
            for open in pending {
                open.version = version;
            }
        }
    }

    fn ask_due(&mut self, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        for (name, open) in &mut self.open {
            if open.ask_at.is_some_and(|at| at <= now) {
                open.ask_at = None;
                actions.push(RolloutAction::Ask(name.clone()));
            }
        }
    }

    /// Gives the orders of engines whose waiting requests have begun.
    fn order_drained(
        &mut self,
        engines: &EngineTable,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        for (name, open) in &mut self.open {
            let OrderStep::Draining {
                orders_taken,
                until,
            } = open.step
            else {
                continue;
            };
            let load = engines.get(name).map(Engine::load).unwrap_or_default();
            if load.unread_tokens > 0 && now < until {
                continue;
            }
            open.step = OrderStep::Given;
            open.given_at = now;
            open.times_given += 1;
            actions.push(RolloutAction::Order(WeightsOrder {
                engine: name.clone(),
                model: open.model.clone(),
                version: open.version,
                expected_orders: orders_taken,
                is_early: open.is_early,
            }));
        }
    }
}

/// Whether an engine in service has older weights than published.
fn is_outdated(engine: &Engine, deadlines: &WeightsDeadlines) -> bool {
    let is_in_service = engine.is_in_service() && !engine.is_unlisted;
    let mut newest = deadlines.newest();
    is_in_service
        && newest.any(|(model, version)| engine.weights_of(model).is_some_and(|has| has < version))
}
