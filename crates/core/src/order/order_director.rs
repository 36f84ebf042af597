//! The order director.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::catalog::{BackEnd, BackEndState, Catalog, Pool, PoolKind, WeightsRollout};
use crate::config::{Change, Expectation, Mutation, Resource, ResourceReference};
use crate::identity::{BackEndName, ChangeId, PoolName};
use crate::timestamp::Timestamp;

use super::engine_control::{EngineControl, RunningLoad};
use super::rollout_plan::RolloutPlan;
use super::{
    DirectorAction, DirectorEvent, DirectorSettings, EngineOrder, EngineRole, FencedOrder,
    HeldLease, OrderAnswer,
};

const AUTHOR: &str = "order-director";
const WHOLE_PERMILLE: u16 = 1_000;

/// Brings every engine to the weights, adapters and role that the configuration says.
///
/// Invariants: nothing is ordered but under a valid lease, whose number every order carries; of a
/// pool no more engines load weights at once than it allows, loads whose answer was lost counted;
/// while a pool changes its weights, no more of its engines are out of service than load at once,
/// apart from those that are out of reach.
#[derive(Debug, Clone)]
pub struct OrderDirector {
    settings: DirectorSettings,
    catalog: Arc<Catalog>,
    lease: Option<HeldLease>,
    held_since: Timestamp,
    engines: BTreeMap<BackEndName, EngineControl>,
    proposed_at: BTreeMap<PoolName, Timestamp>,
    proposals: u64,
}

impl OrderDirector {
    /// A director that holds no lease.
    pub fn new(settings: DirectorSettings) -> Self {
        Self {
            settings,
            catalog: Arc::default(),
            lease: None,
            held_since: Timestamp::ZERO,
            engines: BTreeMap::new(),
            proposed_at: BTreeMap::new(),
            proposals: 0,
        }
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        event: DirectorEvent,
        now: Timestamp,
        actions: &mut Vec<DirectorAction>,
    ) {
        match event {
            DirectorEvent::CatalogChanged(catalog) => self.adopt(catalog),
            DirectorEvent::LeaseChanged(lease) => self.change_lease(lease, now),
            DirectorEvent::Reported { back_end, report } => {
                if let Some(engine) = self.engines.get_mut(&back_end) {
                    engine.poll_open = false;
                    match report {
                        Some(report) => engine.note_report(report),
                        None => engine.note_silent_poll(),
                    }
                }
            }
            DirectorEvent::OrderAnswered { back_end, answer } => {
                self.note_answer(&back_end, answer, now, actions);
            }
            DirectorEvent::IncarnationSeen {
                back_end,
                incarnation,
            } => {
                if let Some(engine) = self.engines.get_mut(&back_end) {
                    engine.note_incarnation(incarnation);
                }
            }
            DirectorEvent::Tick => self.tick(now, actions),
        }
    }

    fn adopt(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
        let catalog = &self.catalog;
        self.engines
            .retain(|name, _| catalog.back_ends.contains_key(name));
        for back_end in catalog.back_ends.values() {
            let is_engine = catalog
                .pools
                .get(&back_end.pool)
                .is_some_and(|pool| matches!(pool.kind, PoolKind::Model { .. }));
            if is_engine {
                self.engines.entry(back_end.name.clone()).or_default();
            }
        }
    }

    /// What was known under an earlier lease may be outdated: all engines report anew.
    fn change_lease(&mut self, lease: Option<HeldLease>, now: Timestamp) {
        let number = |lease: Option<HeldLease>| lease.map(|held| held.fencing_number);
        if number(lease) != number(self.lease) {
            self.held_since = now;
            self.proposed_at.clear();
            for engine in self.engines.values_mut() {
                *engine = EngineControl::default();
            }
        }
        self.lease = lease;
    }

    fn note_answer(
        &mut self,
        back_end: &BackEndName,
        answer: OrderAnswer,
        now: Timestamp,
        actions: &mut Vec<DirectorAction>,
    ) {
        if let OrderAnswer::Superseded { newest } = answer {
            self.lease = None;
            actions.push(DirectorAction::Superseded(newest));
        }
        let Some(engine) = self.engines.get_mut(back_end) else {
            return;
        };
        let order = engine.open_order.take();
        engine.poll_at = now;
        match (order, answer) {
            (Some(EngineOrder::LoadAdapter { adapter }), OrderAnswer::Accepted) => {
                engine.adapters.insert(adapter);
            }
            // The load may run although its answer was lost, so it goes on counting.
            (Some(EngineOrder::LoadWeights { .. }), OrderAnswer::Refused) => engine.load = None,
            _ => {}
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<DirectorAction>) {
        if !self.lease.is_some_and(|lease| lease.is_valid(now)) {
            return;
        }
        for engine in self.engines.values_mut() {
            engine.expire_load(&self.settings, now);
        }
        self.poll(now, actions);
        let catalog = Arc::clone(&self.catalog);
        for pool in catalog.pools.values() {
            self.direct_pool(&catalog, pool, now, actions);
        }
    }

    fn poll(&mut self, now: Timestamp, actions: &mut Vec<DirectorAction>) {
        let catalog = Arc::clone(&self.catalog);
        let open = self.engines.values().filter(|engine| engine.poll_open);
        let mut room = self.settings.max_polls.saturating_sub(open.count());
        let mut due: Vec<(Timestamp, BackEndName)> = self
            .engines
            .iter()
            .filter(|(_, engine)| !engine.poll_open && engine.poll_at <= now)
            .map(|(name, engine)| (engine.poll_at, name.clone()))
            .collect();
        due.sort_unstable();
        for (_, name) in due {
            let Some(back_end) = catalog.back_ends.get(&name) else {
                continue;
            };
            if room == 0 {
                return;
            }
            room -= 1;
            let settled = self.is_settled(&catalog, back_end);
            let interval = if settled {
                self.settings.settled_poll_interval
            } else {
                self.settings.busy_poll_interval
            };
            if let Some(engine) = self.engines.get_mut(&name) {
                engine.poll_open = true;
                engine.poll_at = now.after(interval);
            }
            actions.push(DirectorAction::Poll {
                back_end: name,
                address: back_end.address,
            });
        }
    }

    fn is_settled(&self, catalog: &Catalog, back_end: &BackEnd) -> bool {
        let target = catalog.pools.get(&back_end.pool).map(|pool| &pool.kind);
        let Some(PoolKind::Model {
            weights_version, ..
        }) = target
        else {
            return true;
        };
        self.engines.get(&back_end.name).is_some_and(|engine| {
            engine.serves(*weights_version)
                && engine
                    .report
                    .is_some_and(|report| report.draining == is_draining(back_end))
        })
    }

    fn direct_pool(
        &mut self,
        catalog: &Catalog,
        pool: &Pool,
        now: Timestamp,
        actions: &mut Vec<DirectorAction>,
    ) {
        let PoolKind::Model {
            weights_version,
            adapters,
            weight_loads_at_once,
            ..
        } = &pool.kind
        else {
            return;
        };
        let members: Vec<&BackEnd> = catalog
            .back_ends
            .values()
            .filter(|back_end| back_end.pool == pool.name)
            .collect();
        let engines: BTreeMap<&BackEndName, &EngineControl> = members
            .iter()
            .filter(|back_end| !is_draining(back_end))
            .filter_map(|back_end| self.engines.get_key_value(&back_end.name))
            .filter(|(_, engine)| !engine.is_out_of_reach() || engine.serves(*weights_version))
            .collect();
        let rollout = catalog.rollouts.get(&pool.name);
        let plan = RolloutPlan {
            engines: &engines,
            target: *weights_version,
            before: rollout.map(|rollout| rollout.from),
            loads_at_once: *weight_loads_at_once as usize,
        };
        let ready_permille = plan.ready_permille();
        let loads = if now >= self.held_since.after(self.settings.takeover_delay) {
            plan.next_loads()
        } else {
            Vec::new()
        };
        let knows_all =
            !engines.is_empty() && engines.values().all(|engine| engine.report.is_some());
        for name in loads {
            let order = EngineOrder::LoadWeights {
                weights_version: *weights_version,
            };
            self.order(catalog, &name, order, now, actions);
        }
        for back_end in members {
            self.direct_engine(catalog, back_end, adapters, now, actions);
        }
        if let Some(rollout) = rollout {
            let reached = knows_all.then_some(ready_permille);
            self.advance_rollout(pool, rollout, reached, now, actions);
        }
    }

    fn direct_engine(
        &mut self,
        catalog: &Catalog,
        back_end: &BackEnd,
        adapters: &[crate::identity::AdapterName],
        now: Timestamp,
        actions: &mut Vec<DirectorAction>,
    ) {
        let Some(engine) = self.engines.get(&back_end.name) else {
            return;
        };
        let Some(report) = engine.report else {
            return;
        };
        if engine.open_order.is_some() || engine.load.is_some() || now < engine.order_again_at {
            return;
        }
        if report.draining != is_draining(back_end) {
            let role = if is_draining(back_end) {
                EngineRole::Draining
            } else {
                EngineRole::Serving
            };
            let order = EngineOrder::SetRole { role };
            self.order(catalog, &back_end.name, order, now, actions);
            return;
        }
        let missing = adapters
            .iter()
            .find(|adapter| !engine.adapters.contains(*adapter))
            .cloned();
        if let Some(adapter) = missing {
            let order = EngineOrder::LoadAdapter { adapter };
            self.order(catalog, &back_end.name, order, now, actions);
        }
    }

    fn order(
        &mut self,
        catalog: &Catalog,
        name: &BackEndName,
        order: EngineOrder,
        now: Timestamp,
        actions: &mut Vec<DirectorAction>,
    ) {
        let Some(lease) = self.lease.filter(|lease| lease.is_valid(now)) else {
            return;
        };
        let (Some(engine), Some(back_end)) =
            (self.engines.get_mut(name), catalog.back_ends.get(name))
        else {
            return;
        };
        if let EngineOrder::LoadWeights { weights_version } = order {
            engine.load = Some(RunningLoad {
                weights_version,
                ordered_at: now,
            });
        }
        engine.open_order = Some(order.clone());
        engine.order_again_at = now.after(self.settings.order_timeout);
        if matches!(order, EngineOrder::LoadAdapter { .. }) {
            engine.order_again_at = now;
        }
        engine.poll_at = now.after(self.settings.busy_poll_interval);
        actions.push(DirectorAction::Order {
            back_end: name.clone(),
            address: back_end.address,
            order: FencedOrder {
                fencing_number: lease.fencing_number,
                order,
            },
        });
    }

    /// Moves requests to the target as engines come to serve it.
    fn advance_rollout(
        &mut self,
        pool: &Pool,
        rollout: &WeightsRollout,
        reached_permille: Option<u16>,
        now: Timestamp,
        actions: &mut Vec<DirectorAction>,
    ) {
        let Some(reached) = reached_permille else {
            return;
        };
        let done = reached >= WHOLE_PERMILLE;
        let step = self.settings.share_step_permille;
        let differs = reached.abs_diff(rollout.share_permille) >= step;
        let waiting = self
            .proposed_at
            .get(&pool.name)
            .is_some_and(|at| now < at.after(self.settings.proposal_timeout));
        if waiting || !(done || differs) {
            return;
        }
        self.proposed_at.insert(pool.name.clone(), now);
        let expected = Expectation::Version(rollout.version);
        let mutation = if done {
            Mutation::Delete {
                reference: ResourceReference::Rollout(pool.name.clone()),
                expected,
            }
        } else {
            let mut next = rollout.clone();
            next.share_permille = reached;
            Mutation::Put {
                resource: Resource::Rollout(next),
                expected,
            }
        };
        actions.push(DirectorAction::Propose(self.change(mutation)));
    }

    fn change(&mut self, mutation: Mutation) -> Change {
        self.proposals += 1;
        let number = self.lease.map(|lease| lease.fencing_number);
        let id = format!("{AUTHOR}-{}-{}", number.unwrap_or_default(), self.proposals);
        Change {
            change_id: ChangeId::new(id),
            author: AUTHOR.to_owned(),
            mutations: vec![mutation],
        }
    }
}

fn is_draining(back_end: &BackEnd) -> bool {
    back_end.state == BackEndState::Draining
}
