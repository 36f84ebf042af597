//! Plans a rollout.

use std::collections::BTreeMap;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};

use super::{
    EngineReport, OrderOutcome, RolloutAction, RolloutSettings, WeightsDeadlines, WeightsOrder,
};
use crate::engines::{Engine, EngineState, EngineTable};

/// An order that was given and whose end has not been seen.
#[derive(Debug, Clone)]
struct OpenOrder {
    order: WeightsOrder,
    pool: PoolName,
    given_at: Timestamp,
    /// When to ask the engine next; `None` while a question or the order is unanswered.
    ask_at: Option<Timestamp>,
    is_accepted: bool,
}

/// Decides which engine loads when, while this process holds the lease.
///
/// Invariant: of a pool no more engines are under an open order than the settings allow, unless the
/// time for older weights runs out.
#[derive(Debug, Default)]
pub struct RolloutPlanner {
    settings: RolloutSettings,
    open: BTreeMap<BackEndName, OpenOrder>,
    /// Orders taken, as engines said last.
    orders_taken: BTreeMap<BackEndName, u64>,
}

impl RolloutPlanner {
    /// A planner without open orders.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Forgets everything: another process gives orders now.
    pub fn reset(&mut self) {
        self.open.clear();
        self.orders_taken.clear();
    }

    /// Whether any order is open.
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
        self.open.retain(|name, _| engines.get(name).is_some());
        self.close_finished(engines);
        self.ask_due(now, actions);
        for (model, version) in deadlines.newest() {
            self.order_due(model, version, engines, deadlines, now, actions);
        }
    }

    fn close_finished(&mut self, engines: &EngineTable) {
        self.open.retain(|name, open| {
            let weights = engines
                .get(name)
                .and_then(|engine| engine.weights_of(&open.order.model));
            weights.is_none_or(|weights| weights < open.order.version)
        });
    }

    fn ask_due(&mut self, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        for (name, open) in &mut self.open {
            if open.ask_at.is_some_and(|at| at <= now) {
                open.ask_at = None;
                actions.push(RolloutAction::Ask(name.clone()));
            }
        }
    }

    fn order_due(
        &mut self,
        model: &str,
        version: u64,
        engines: &EngineTable,
        deadlines: &WeightsDeadlines,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        let mut by_pool: BTreeMap<&PoolName, Vec<&Engine>> = BTreeMap::new();
        for engine in engines.iter() {
            if engine.weights_of(model).is_some() {
                by_pool.entry(&engine.entry.pool).or_default().push(engine);
            }
        }
        for (pool, members) in by_pool {
            let mut behind: Vec<&Engine> = members
                .iter()
                .copied()
                .filter(|engine| self.is_due(engine, model, version))
                .collect();
            let open = self.open.values().filter(|open| open.pool == *pool).count();
            let room = self.at_once(members.len()).saturating_sub(open);
            // The oldest weights run out first; among equals the least busy engine goes first.
            behind.sort_by_key(|engine| {
                let weights = engine.weights_of(model).unwrap_or_default();
                let until = deadlines.until(model, weights);
                (until, engine.load().requests, engine.entry.name.clone())
            });
            for engine in behind.into_iter().take(room) {
                self.order(engine, model, version, now, actions);
            }
        }
    }

    fn at_once(&self, members: usize) -> usize {
        let share = self.settings.share_at_once * members as f64;
        (share.ceil() as usize).max(1)
    }

    fn is_due(&self, engine: &Engine, model: &str, version: u64) -> bool {
        let is_behind = engine.weights_of(model).is_some_and(|has| has < version);
        let is_staying = engine.entry.state == EngineState::Ready && !engine.is_unlisted;
        let is_reachable = engine.health.ejected_until().is_none();
        is_behind && is_staying && is_reachable && !self.open.contains_key(&engine.entry.name)
    }

    fn order(
        &mut self,
        engine: &Engine,
        model: &str,
        version: u64,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        let name = &engine.entry.name;
        let told = self.orders_taken.get(name).copied();
        let order = WeightsOrder {
            engine: name.clone(),
            model: model.to_owned(),
            version,
            expected_orders: told.or(Some(engine.entry.orders_taken)),
        };
        let open = OpenOrder {
            order: order.clone(),
            pool: engine.entry.pool.clone(),
            given_at: now,
            ask_at: None,
            is_accepted: false,
        };
        self.open.insert(name.clone(), open);
        actions.push(RolloutAction::Order(order));
    }

    /// An engine answered an order, or did not.
    pub fn ordered(
        &mut self,
        engine: &BackEndName,
        outcome: OrderOutcome,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        let ask_at = now.after(self.settings.ask_interval);
        let Some(open) = self.open.get_mut(engine) else {
            return;
        };
        open.ask_at = Some(ask_at);
        match outcome {
            OrderOutcome::Accepted => open.is_accepted = true,
            OrderOutcome::AlreadyDone => self.finish(engine, actions),
            OrderOutcome::Rejected => {
                self.open.remove(engine);
            }
            OrderOutcome::Conflict | OrderOutcome::Superseded | OrderOutcome::Unknown => {}
        }
    }

    /// An engine reported, or could not be asked (`None`).
    pub fn reported(
        &mut self,
        engine: &BackEndName,
        report: Option<&EngineReport>,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        let Some(open) = self.open.get_mut(engine) else {
            return;
        };
        open.ask_at = Some(now.after(self.settings.ask_interval));
        let Some(report) = report else {
            return;
        };
        self.orders_taken
            .insert(engine.clone(), report.orders_taken);
        let has = report.weights.get(&open.order.model).copied();
        if has.is_some_and(|has| has >= open.order.version) {
            self.finish(engine, actions);
            return;
        }
        // Reports lag, so a fresh order may not show yet.
        let is_old = now.since(open.given_at) >= self.settings.repeat_after;
        if !report.is_busy && is_old {
            self.open.remove(engine);
        }
    }

    fn finish(&mut self, engine: &BackEndName, actions: &mut Vec<RolloutAction>) {
        let Some(open) = self.open.remove(engine) else {
            return;
        };
        // What the engine counted is unknown until it reports again; its entry may lag.
        if open.is_accepted
            && let Some(expected) = open.order.expected_orders
        {
            let known = self.orders_taken.entry(engine.clone()).or_default();
            *known = (*known).max(expected + 1);
        }
        actions.push(RolloutAction::Loaded {
            engine: engine.clone(),
            model: open.order.model,
            version: open.order.version,
        });
    }
}
