//! Plans a rollout.

use std::collections::BTreeMap;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation, PoolName};

use super::given_orders::GivenOrders;
use super::open_order::{OpenOrder, OrderStep};
use super::pace::{Pace, Progress};
use super::stale_work::StaleWork;
use super::unanswered_questions::UnansweredQuestions;
use super::{
    EngineReport, OrderOutcome, RolloutAction, RolloutSettings, WeightsDeadlines, WeightsOrder,
};
use crate::engines::{Engine, EngineTable, IncarnationOrder};

/// Decides which engine loads when, while this process holds the lease.
///
/// Invariants: an order is given only after the engine told how many it has taken, and carries that
/// number, so an order that comes late never runs beside a newer one; of a pool no more engines are
/// in progress than the settings allow.
#[derive(Debug)]
pub struct RolloutPlanner {
    settings: RolloutSettings,
    open: BTreeMap<BackEndName, OpenOrder>,
    given: GivenOrders,
    /// Engines that can't be ordered now, and until when they are left alone.
    resting: BTreeMap<BackEndName, Timestamp>,
    /// Engines with older weights that did not answer their last questions.
    unanswered: BTreeMap<BackEndName, UnansweredQuestions>,
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
            unanswered: BTreeMap::new(),
        }
    }

    /// Another process gives orders now; what was given is only observed.
    pub fn reset(&mut self) {
        for (name, open) in std::mem::take(&mut self.open) {
            self.given.take_over(name, open);
        }
        self.resting.clear();
        self.unanswered.clear();
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
        self.given.forget_other_lives(engine, life);
    }

    /// Whether no order is in progress.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Engines with older weights that did not answer their last questions.
    pub fn unanswered(&self) -> impl Iterator<Item = &BackEndName> {
        let unanswered = self.unanswered.iter();
        let unreached = unanswered.filter(|(_, questions)| questions.is_unreached());
        unreached.map(|(name, _)| name)
    }

    /// Whether an engine that answers is about to have its weights: its order has begun lately.
    pub fn is_progressing(&self, now: Timestamp) -> bool {
        self.open.iter().any(|(name, open)| {
            let is_answered = !open.is_unanswered && !self.unanswered.contains_key(name);
            let is_recent = now.since(open.opened_at) < self.settings.expected_load;
            open.step != OrderStep::Asking && is_answered && is_recent
        })
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
        self.unanswered.retain(|name, _| {
            let engine = engines.get(name);
            engine.is_some_and(|engine| is_outdated(engine, deadlines))
        });
        self.close_finished(engines, now, actions);
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
            actions.push(RolloutAction::Order(WeightsOrder {
                engine: name.clone(),
                model: open.model.clone(),
                version: open.version,
                expected_orders: orders_taken,
                is_early: open.is_early,
            }));
        }
    }

    fn open_due(
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
            let until = |engine: &Engine| {
                let weights = engine.weights_of(model).unwrap_or_default();
                deadlines.until(model, weights)
            };
            let mut behind: Vec<&Engine> = members
                .iter()
                .copied()
                .filter(|engine| self.is_due(engine, model, version))
                .collect();
            // Engines that do not answer go last and take turns, since their questions take the time
            // of others. Of the rest the oldest weights run out first; among equals the least busy
            // engine goes first.
            behind.sort_by_key(|engine| {
                let name = &engine.entry.name;
                let unanswered = self.unanswered.get(name);
                let unanswered_at = unanswered.map(UnansweredQuestions::last_at);
                let requests = engine.load().requests;
                (unanswered_at, until(engine), requests, name.clone())
            });
            let progress = Progress {
                behind: behind.len(),
                first_until: behind.iter().copied().map(until).min().flatten(),
                ..self.progress(pool, &members, model, version)
            };
            let to_begin = self.pace.to_begin(&progress, now);
            let is_early = !self.pace.is_due(&progress, now);
            self.stale_work.spend(pool, to_begin.min(behind.len()));
            for engine in behind.into_iter().take(to_begin) {
                let order = OpenOrder {
                    pool: pool.clone(),
                    incarnation: engine.entry.incarnation,
                    model: model.to_owned(),
                    version,
                    step: OrderStep::Asking,
                    is_early,
                    opened_at: now,
                    given_at: now,
                    announced_at: now,
                    is_unanswered: false,
                    ask_at: None,
                };
                self.open.insert(engine.entry.name.clone(), order);
                actions.push(RolloutAction::Ask(engine.entry.name.clone()));
            }
        }
    }

    /// How far a pool is, but for those that could be ordered now.
    fn progress(
        &self,
        pool: &PoolName,
        members: &[&Engine],
        model: &str,
        version: u64,
    ) -> Progress {
        // One that may not have heard its order keeps no other from loading.
        let in_progress = self.open.values();
        let in_progress = in_progress.filter(|open| open.pool == *pool && !open.is_unanswered);
        let is_current = |engine: &&&Engine| {
            let open = self.open.get(&engine.entry.name);
            let is_coming = open.is_some_and(|open| open.model == model && open.version >= version);
            is_coming || engine.weights_of(model) >= Some(version)
        };
        Progress {
            members: members.len(),
            behind: 0,
            current: members.iter().filter(is_current).count(),
            in_progress: in_progress.count(),
            is_used: members.iter().any(|engine| engine.load().requests > 0),
            paid: self.stale_work.paid(pool),
            first_until: None,
        }
    }

    fn is_due(&self, engine: &Engine, model: &str, version: u64) -> bool {
        let name = &engine.entry.name;
        let is_behind = engine.weights_of(model).is_some_and(|has| has < version);
        let is_in_service = engine.is_in_service() && !engine.is_unlisted;
        let is_reachable = engine.health.ejected_until().is_none();
        let is_free = !self.open.contains_key(name) && !self.resting.contains_key(name);
        is_behind && is_in_service && is_reachable && is_free
    }

    /// An engine answered an order, or did not.
    pub fn ordered(
        &mut self,
        engine: &BackEndName,
        outcome: OrderOutcome,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        let Some(open) = self.open.get_mut(engine) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => {
                open.step = OrderStep::Loading;
                open.is_unanswered = false;
                open.ask_at = Some(now.after(self.pace.load_time() / 2));
            }
            OrderOutcome::AlreadyDone => self.finish(engine, now, actions),
            OrderOutcome::Conflict => {
                open.step = OrderStep::Asking;
                open.ask_at = Some(now.after(self.settings.ask_interval));
            }
            // It may be done, now or later; a report tells, and the next order carries its count.
            OrderOutcome::Unknown => {
                open.step = OrderStep::Loading;
                open.is_unanswered = true;
                open.ask_at = Some(now);
            }
            OrderOutcome::Rejected | OrderOutcome::Superseded => self.rest(engine, now),
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
        let again_after = self.settings.ask_interval;
        self.given
            .reported(engine, report, again_after, now, actions);
        let settings = &self.settings;
        let Some(open) = self.open.get_mut(engine) else {
            return;
        };
        let Some(report) = report else {
            self.not_reported(engine, now);
            return;
        };
        self.unanswered.remove(engine);
        let has = report.weights.get(&open.model).copied();
        if has.is_some_and(|has| has >= open.version) {
            self.finish(engine, now, actions);
            return;
        }
        open.is_unanswered &= !report.is_busy;
        // Reports lag, so a fresh order may not show yet.
        let may_show_later = now.since(open.given_at) < settings.repeat_after;
        let must_wait = match open.step {
            OrderStep::Asking => report.is_busy,
            OrderStep::Given | OrderStep::Draining { .. } => true,
            OrderStep::Loading => report.is_busy || may_show_later,
        };
        if must_wait {
            open.ask_at = Some(now.after(settings.ask_interval));
            let is_due = now.since(open.announced_at) > settings.expected_load / 2;
            if open.step == OrderStep::Loading && is_due {
                // Other nodes believe it only for so long.
                open.announced_at = now;
                actions.push(announcement(engine, open));
            }
            return;
        }
        open.step = OrderStep::Draining {
            orders_taken: report.orders_taken,
            until: now.after(settings.drain),
        };
        open.ask_at = None;
        open.announced_at = now;
        actions.push(announcement(engine, open));
    }

    /// An engine that is silent must not hold up the others.
    fn not_reported(&mut self, engine: &BackEndName, now: Timestamp) {
        let Some(open) = self.open.get_mut(engine) else {
            return;
        };
        self.unanswered.entry(engine.clone()).or_default().note(now);
        match open.step {
            OrderStep::Asking => self.rest(engine, now),
            OrderStep::Draining { .. } | OrderStep::Given | OrderStep::Loading => {
                open.ask_at = Some(now.after(self.settings.ask_interval));
                if now.since(open.opened_at) > self.settings.expected_load {
                    self.rest(engine, now);
                }
            }
        }
    }

    fn rest(&mut self, engine: &BackEndName, now: Timestamp) {
        self.open.remove(engine);
        let until = now.after(self.settings.rest);
        self.resting.insert(engine.clone(), until);
    }

    fn finish(&mut self, engine: &BackEndName, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        let Some(open) = self.open.remove(engine) else {
            return;
        };
        if open.step == OrderStep::Loading {
            self.pace.note_load(now.since(open.opened_at));
        }
        actions.push(RolloutAction::Loaded {
            engine: engine.clone(),
            model: open.model,
            version: open.version,
            after: now.since(open.opened_at),
        });
    }
}

/// Whether an engine in service has older weights than published.
fn is_outdated(engine: &Engine, deadlines: &WeightsDeadlines) -> bool {
    let is_in_service = engine.is_in_service() && !engine.is_unlisted;
    let mut newest = deadlines.newest();
    is_in_service
        && newest.any(|(model, version)| engine.weights_of(model).is_some_and(|has| has < version))
}

fn announcement(engine: &BackEndName, open: &OpenOrder) -> RolloutAction {
    RolloutAction::Announce {
        engine: engine.clone(),
        model: open.model.clone(),
        version: open.version,
    }
}
