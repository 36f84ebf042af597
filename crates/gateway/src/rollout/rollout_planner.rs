//! Plans a rollout.

use std::collections::BTreeMap;
use std::time::Duration;

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

/// Engines of a pool of the usual size that are probed at once.
const MIN_PROBES: usize = 16;
/// Engines of a large pool for each one that is probed at once.
const ENGINES_PER_PROBE: usize = 100;
/// A load that takes longer must have failed.
const MAX_LOAD: Duration = Duration::from_secs(60);
/// Number of times the rest of an engine that does not answer is doubled.
const MAX_REST_DOUBLINGS: u32 = 2;

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

    /// Engines with older weights that did not answer their last questions.
    pub fn unanswered(&self) -> impl Iterator<Item = &BackEndName> {
        self.reach.unreached()
    }

    /// Whether an engine that answers is about to have its weights: its order has begun lately.
    pub fn is_progressing(&self, now: Timestamp) -> bool {
        self.open.iter().any(|(name, open)| {
            let is_answered = !open.is_unanswered && self.reach.silences(name) == 0;
            let is_recent = now.since(open.opened_at) < self.settings.expected_load;
            let is_asked = matches!(open.step, OrderStep::Probing | OrderStep::Asking);
            !is_asked && is_answered && is_recent
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
            let load_deadline = |engine: &&Engine| {
                let weights = engine.weights_of(model).unwrap_or_default();
                deadlines.load_deadline(model, weights)
            };
            let due = members.iter().copied();
            let due = due.filter(|engine| self.is_due(engine, model, version));
            let (suspects, mut behind): (Vec<_>, Vec<_>) =
                due.partition(|engine| self.reach.is_suspect(engine));
            let progress = Progress {
                behind: behind.len(),
                first_deadline: behind.iter().filter_map(load_deadline).min(),
                ..self.progress(pool, &members, model, version, now)
            };
            let to_begin = self.pace.to_begin(&progress, now);
            let is_early = !self.pace.is_due(&progress, now);
            self.stale_work.spend(pool, to_begin.min(behind.len()));
            let with_suspects = Progress {
                behind: behind.len() + suspects.len(),
                first_deadline: suspects.iter().filter_map(load_deadline).min(),
                ..progress
            };
            let to_probe = match self.pace.is_due(&with_suspects, now) {
                true => self.free_probes(pool, members.len()),
                false => 0,
            };
            let to_probe = self.first_suspects(suspects, to_probe);
            // The oldest weights run out first; among equals the least busy engine goes first.
            behind.sort_by_cached_key(|engine| {
                let weights = engine.weights_of(model).unwrap_or_default();
                let until = deadlines.until(model, weights);
                (until, engine.load().requests, &engine.entry.name)
            });
            let opened = behind.into_iter().take(to_begin);
            let opened = opened.map(|engine| (engine, OrderStep::Asking));
            let probed = to_probe.into_iter();
            let probed = probed.map(|engine| (engine, OrderStep::Probing));
            for (engine, step) in opened.chain(probed) {
                let order = OpenOrder {
                    pool: pool.clone(),
                    incarnation: engine.entry.incarnation,
                    model: model.to_owned(),
                    version,
                    step,
                    is_early,
                    opened_at: now,
                    given_at: now,
                    times_given: 0,
                    announced_at: now,
                    is_unanswered: false,
                    is_busy: false,
                    ask_at: None,
                };
                self.open.insert(engine.entry.name.clone(), order);
                actions.push(RolloutAction::Ask(engine.entry.name.clone()));
            }
        }
    }

    /// The suspects to probe next: those that were silent to the fewest questions. They are not
    /// sorted, because in a large pool thousands may wait for a few probes at a time.
    fn first_suspects<'a>(&self, mut suspects: Vec<&'a Engine>, count: usize) -> Vec<&'a Engine> {
        if count == 0 {
            return Vec::new();
        }
        if suspects.len() > count {
            suspects.select_nth_unstable_by_key(count, |engine| {
                (self.reach.silences(&engine.entry.name), engine.name_hash)
            });
            suspects.truncate(count);
        }
        suspects
    }

    /// How many more engines of a pool may be probed now.
    fn free_probes(&self, pool: &PoolName, members: usize) -> usize {
        let most = (members / ENGINES_PER_PROBE).max(MIN_PROBES);
        let is_probe = |open: &&OpenOrder| open.pool == *pool && open.step == OrderStep::Probing;
        most.saturating_sub(self.open.values().filter(is_probe).count())
    }

    /// How far a pool is, but for those that could be ordered now.
    fn progress(
        &self,
        pool: &PoolName,
        members: &[&Engine],
        model: &str,
        version: u64,
        now: Timestamp,
    ) -> Progress {
        let is_current = |engine: &&&Engine| {
            let open = self.open.get(&engine.entry.name);
            let open = open.filter(|open| open.step != OrderStep::Probing);
            let is_coming = open.is_some_and(|open| open.model == model && open.version >= version);
            is_coming || engine.weights_of(model) >= Some(version)
        };
        Progress {
            members: members.len(),
            behind: 0,
            current: members.iter().filter(is_current).count(),
            in_progress: self.in_progress(pool, members.len(), now),
            is_used: members.iter().any(|engine| engine.load().requests > 0),
            paid: self.stale_work.paid(pool),
            first_deadline: None,
        }
    }

    /// Number of places of a pool that are taken.
    ///
    /// An order that is open for long will hardly be carried out: the engine can't read the weights, or
    /// is stuck while it loads them. It takes no place then, unless the engine reports that it loads:
    /// all loads may be slow, so only as many more as usual may begin beside such engines.
    fn in_progress(&self, pool: &PoolName, members: usize, now: Timestamp) -> usize {
        let usual = self.settings.expected_load.max(self.pace.load_time());
        let (mut in_time, mut slow) = (0, 0);
        let open = self.open.values();
        for open in open.filter(|open| open.pool == *pool && open.takes_place()) {
            let age = now.since(open.opened_at);
            in_time += usize::from(age < usual * 2);
            slow += usize::from(age >= usual * 2 && age < MAX_LOAD && open.is_busy);
        }
        in_time + slow.saturating_sub(self.pace.usual_at_once(members))
    }

    fn is_due(&self, engine: &Engine, model: &str, version: u64) -> bool {
        let name = &engine.entry.name;
        let is_behind = engine.weights_of(model).is_some_and(|has| has < version);
        let is_in_service = engine.is_in_service() && !engine.is_unlisted;
        let is_free = !self.open.contains_key(name) && !self.resting.contains_key(name);
        is_behind && is_in_service && is_free
    }

    /// Engines with older weights than published, by reason.
    pub fn standing(
        &self,
        engines: &EngineTable,
        deadlines: &WeightsDeadlines,
        now: Timestamp,
    ) -> RolloutStanding {
        RolloutStanding::new(engines, deadlines, |engine| self.reason_behind(engine, now))
    }

    fn reason_behind(&self, engine: &Engine, now: Timestamp) -> BehindReason {
        let name = &engine.entry.name;
        let is_resting = self.resting.get(name).is_some_and(|until| now < *until);
        let is_ordered = |open: &OpenOrder| open.step != OrderStep::Probing;
        if !engine.is_in_service() {
            BehindReason::Leaving
        } else if self.open.get(name).is_some_and(is_ordered) {
            BehindReason::Ordered
        } else if engine.is_unlisted {
            BehindReason::Unlisted
        } else if self.reach.is_suspect(engine) {
            BehindReason::Suspect
        } else if is_resting {
            BehindReason::Resting
        } else {
            BehindReason::Waiting
        }
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
                let first_question = self.pace.load_time().min(self.settings.expected_load) / 2;
                open.ask_at = Some(now.after(first_question));
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
            OrderOutcome::Rejected | OrderOutcome::Superseded => {
                self.rest(engine, self.settings.rest, now);
            }
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
        let is_probe = open.step == OrderStep::Probing;
        if is_probe {
            self.reach.note_answer(engine);
        }
        let has = report.weights.get(&open.model).copied();
        if has.is_some_and(|has| has >= open.version) {
            self.finish(engine, now, actions);
            return;
        }
        if is_probe {
            // It takes its place among the engines that load once one is free.
            self.open.remove(engine);
            return;
        }
        open.is_unanswered &= !report.is_busy;
        open.is_busy = report.is_busy;
        // Reports lag, so a fresh order may not show yet.
        let may_show_later = now.since(open.given_at) < settings.repeat_after;
        let must_wait = match open.step {
            OrderStep::Asking => report.is_busy,
            OrderStep::Probing | OrderStep::Given | OrderStep::Draining { .. } => true,
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
        match open.step {
            OrderStep::Probing | OrderStep::Asking => self.give_up(engine, now),
            OrderStep::Draining { .. } | OrderStep::Given | OrderStep::Loading => {
                open.ask_at = Some(now.after(self.settings.ask_interval));
                if now.since(open.opened_at) > self.settings.expected_load {
                    self.give_up(engine, now);
                }
            }
        }
    }

    /// Leaves an engine that does not answer alone, for longer after each question in a row.
    fn give_up(&mut self, engine: &BackEndName, now: Timestamp) {
        let silences = self.reach.note_silence(engine);
        let doublings = (silences - 1).min(MAX_REST_DOUBLINGS);
        self.rest(engine, self.settings.rest * 2_u32.pow(doublings), now);
    }

    fn rest(&mut self, engine: &BackEndName, rest: Duration, now: Timestamp) {
        self.open.remove(engine);
        self.resting.insert(engine.clone(), now.after(rest));
    }

    fn finish(&mut self, engine: &BackEndName, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        let Some(open) = self.open.remove(engine) else {
            return;
        };
        self.reach.forget(engine);
        // After a repeated order it is not known how long the load itself took.
        if open.step == OrderStep::Loading && open.times_given == 1 {
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
