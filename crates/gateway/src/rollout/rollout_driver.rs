//! Runs rollouts.

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::control::StoreAnswer;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::order::{HeldLease, LeaseAction, LeaseEvent, LeaseHolder, LeaseSettings};
use slog::{info, warn};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval_at};

use super::order_handover::OrderHandover;
use super::rollout_event::RolloutEvent;
use super::rollout_monitor::RolloutMonitor;
use super::{
    EngineOrders, EngineReport, OrderOutcome, RolloutAction, RolloutPlanner, WeightsOrder,
};
use crate::engines::IncarnationOrder;
use crate::gateway::Gateway;
use crate::peers::LeaseUpdate;
use crate::source::LeaseStore;

/// Name of the lease of orders.
const LEASE_NAME: &str = "orders";
const TICK: Duration = Duration::from_millis(50);

/// Holds the lease of orders while there is work, and brings engines to the named weights.
pub async fn run_rollouts(
    gateway: Rc<Gateway>,
    store: Rc<dyn LeaseStore>,
    orders: Rc<dyn EngineOrders>,
    lease: LeaseSettings,
) {
    let (sender, events) = unbounded_channel();
    let identity = &gateway.settings().identity;
    let incarnation = Incarnation(identity.incarnation);
    let handover = OrderHandover::new(Rc::clone(&gateway), Rc::clone(&orders), &lease);
    let lease = LeaseHolder::new(LEASE_NAME, identity.name.clone(), incarnation, lease);
    let planner = RolloutPlanner::new(gateway.settings().rollout.clone());
    let driver = RolloutDriver {
        monitor: RolloutMonitor::new(Rc::clone(&gateway)),
        gateway,
        store,
        orders,
        lease,
        planner,
        handover,
        held: None,
        era: 0,
        sender,
    };
    driver.run(events).await;
}

struct RolloutDriver {
    gateway: Rc<Gateway>,
    store: Rc<dyn LeaseStore>,
    orders: Rc<dyn EngineOrders>,
    lease: LeaseHolder,
    planner: RolloutPlanner,
    monitor: RolloutMonitor,
    handover: OrderHandover,
    held: Option<HeldLease>,
    /// Era of the store that the lease was told last.
    era: u64,
    sender: UnboundedSender<RolloutEvent>,
}

impl RolloutDriver {
    async fn run(mut self, mut events: UnboundedReceiver<RolloutEvent>) {
        let first = self.gateway.clock().next_look(TICK);
        let mut ticks = interval_at(first, TICK);
        // Skipped ones keep the moments that it shares with other tasks.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                event = events.recv() => {
                    if let Some(event) = event {
                        self.handle(event);
                    }
                }
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        self.gateway.remove_unlisted();
        self.gateway.update_readiness();
        self.set_held(self.held);
        for (pool, requests) in self.gateway.take_stale_weight_starts() {
            self.planner.note_stale(&pool, requests);
        }
        let mut questions = Vec::new();
        let now = self.gateway.clock().now();
        self.planner.observe(now, &mut questions);
        self.carry_out(questions);
        let fence = self.held.map(|held| held.fencing_number.0);
        self.handover.advance(&self.planner, fence);
        if self.gateway.is_leaving() || self.gateway.is_handing_over() {
            // Given up at once, so that another node can go on soon.
            self.tell_lease(LeaseEvent::Candidacy(false));
            return;
        }
        let era = self.gateway.state().source_era;
        if std::mem::replace(&mut self.era, era) != era {
            self.tell_lease(LeaseEvent::Era(era));
        }
        let heard = self.gateway.state_mut().received_lease.take();
        if let Some(news) = heard {
            self.tell_lease(LeaseEvent::Heard {
                record: news.record,
                version: news.version,
                age: Duration::from_millis(news.age_ms),
            });
        }
        let has_outdated = self.gateway.has_outdated_engines();
        let is_needed = has_outdated || self.gateway.has_release_work() || !self.planner.is_idle();
        self.gateway.note_order_need(is_needed);
        let is_candidate = is_needed && self.gateway.should_give_orders();
        self.gateway.state_mut().is_order_candidate = is_candidate || self.held.is_some();
        if is_candidate {
            self.tell_lease(LeaseEvent::Candidacy(true));
        } else if self.held.is_none() && !self.lease.is_asking() {
            // A lease that is about to be won is kept: given up, nobody could order for a while.
            self.tell_lease(LeaseEvent::Candidacy(false));
        }
        // A lease that is held without need runs out by itself.
        if is_needed {
            self.advance();
        }
        match self.valid_lease(now).filter(|_| has_outdated) {
            Some(lease) => self
                .monitor
                .observe(&self.planner, lease.fencing_number.0, now),
            None => self.monitor.clear(),
        }
    }

    fn handle(&mut self, event: RolloutEvent) {
        let now = self.gateway.clock().now();
        let mut actions = Vec::new();
        match event {
            RolloutEvent::StoreAnswered(answer) => {
                let is_answered = !matches!(answer, StoreAnswer::Failed(_));
                self.gateway.note_lease_store_answer(is_answered);
                self.tell_lease(LeaseEvent::StoreAnswered(answer));
            }
            RolloutEvent::Ordered(engine, life, outcome) => {
                let outcomes = &self.gateway.metrics().orders;
                outcomes.with_label_values(&[&outcome.to_string()]).inc();
                info!(self.gateway.log(), "order_answered"; "engine" => %engine,
                    "outcome" => %outcome);
                if self.is_in_life(&engine, life) {
                    self.planner.ordered(&engine, outcome, now, &mut actions);
                }
            }
            RolloutEvent::Reported(engine, life, report) => {
                let report = self.report_of_this_life(&engine, report);
                if self.is_in_life(&engine, life) {
                    self.planner
                        .reported(&engine, report.as_ref(), now, &mut actions);
                }
            }
        }
        self.carry_out(actions);
        self.advance();
    }

    /// Whether an engine is still in the life in which it was asked. If not, the answer says nothing of
    /// what it does now, and an order to that life is over.
    fn is_in_life(&mut self, engine: &BackEndName, life: Option<Incarnation>) -> bool {
        let known = self.gateway.incarnation_of(engine);
        let is_same = IncarnationOrder::new(known, life) == IncarnationOrder::Same;
        if !is_same {
            info!(self.gateway.log(), "former_life_answered"; "engine" => %engine);
            self.planner.forget_other_lives(engine, known);
        }
        is_same
    }

    fn report_of_this_life(
        &self,
        engine: &BackEndName,
        report: Option<EngineReport>,
    ) -> Option<EngineReport> {
        let report = report?;
        let told = self.gateway.apply_report_incarnation(engine, &report);
        (told != IncarnationOrder::Older).then_some(report)
    }

    fn tell_lease(&mut self, event: LeaseEvent) {
        let now = self.gateway.clock().now();
        let mut actions = Vec::new();
        self.lease.handle(event, now, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Call(call) => {
                    let (store, sender) = (Rc::clone(&self.store), self.sender.clone());
                    spawn_local(async move {
                        let answer = store.call(call).await;
                        let _ = sender.send(RolloutEvent::StoreAnswered(answer));
                    });
                }
                LeaseAction::Changed(held) => self.set_held(held),
            }
        }
    }

    fn set_held(&mut self, held: Option<HeldLease>) {
        let now = self.gateway.clock().now();
        let valid = held.filter(|held| held.is_valid(now));
        let fence = |held: Option<HeldLease>| held.map(|held| held.fencing_number.0);
        if fence(valid) != fence(self.held) {
            info!(self.gateway.log(), "order_lease"; "fence" => fence(valid),
                "before" => fence(self.held));
            self.planner.reset();
            self.monitor.clear();
        }
        self.held = valid;
        let mut state = self.gateway.state_mut();
        state.gives_orders = valid.is_some();
        state.order_fence = fence(valid);
        state.order_lease_until = valid.map(|held| held.valid_until);
        state.observed_lease = self.lease.last_seen().map(|(record, version, seen_at)| {
            let news = LeaseUpdate {
                record: record.clone(),
                version,
                age_ms: 0,
            };
            (news, seen_at)
        });
    }

    fn advance(&mut self) {
        let now = self.gateway.clock().now();
        if self.valid_lease(now).is_none() || self.gateway.is_handing_over() {
            return;
        }
        let mut actions = Vec::new();
        let state = self.gateway.state();
        self.planner
            .advance(&state.engines, &state.deadlines, now, &mut actions);
        drop(state);
        self.carry_out(actions);
    }

    /// The lease, checked anew before each use: this process may have been paused.
    fn valid_lease(&self, now: Timestamp) -> Option<HeldLease> {
        self.held.filter(|held| held.is_valid(now))
    }

    fn carry_out(&mut self, actions: Vec<RolloutAction>) {
        for action in actions {
            match action {
                RolloutAction::Announce {
                    engine,
                    model,
                    version,
                } => {
                    let expected = self.gateway.settings().rollout.expected_load;
                    self.gateway
                        .note_loading(&engine, &model, version, expected);
                }
                RolloutAction::Order(order) => self.give_order(order),
                RolloutAction::Ask(engine) => {
                    let Some(address) = self.gateway.address_of(&engine) else {
                        continue;
                    };
                    let life = self.gateway.incarnation_of(&engine);
                    let (orders, sender) = (Rc::clone(&self.orders), self.sender.clone());
                    spawn_local(async move {
                        let report = orders.report(engine.clone(), address).await;
                        let _ = sender.send(RolloutEvent::Reported(engine, life, report));
                    });
                }
                RolloutAction::Loaded {
                    engine,
                    model,
                    version,
                    after,
                } => self.gateway.note_loaded(&engine, &model, version, after),
            }
        }
    }

    fn give_order(&mut self, order: WeightsOrder) {
        let now = self.gateway.clock().now();
        let lease = self.valid_lease(now);
        let address = self.gateway.address_of(&order.engine);
        let life = self.gateway.incarnation_of(&order.engine);
        let (Some(lease), Some(address)) = (lease, address) else {
            warn!(self.gateway.log(), "order_withheld"; "engine" => %order.engine);
            let outcome = OrderOutcome::Rejected;
            let _ = self
                .sender
                .send(RolloutEvent::Ordered(order.engine, life, outcome));
            return;
        };
        info!(self.gateway.log(), "order_given"; "engine" => %order.engine,
            "model" => &order.model, "version" => order.version,
            "expected_orders" => order.expected_orders, "early" => order.is_early,
            "fence" => lease.fencing_number.0);
        self.monitor.note_order(lease.fencing_number.0, now);
        let (orders, sender) = (Rc::clone(&self.orders), self.sender.clone());
        spawn_local(async move {
            let engine = order.engine.clone();
            let outcome = orders.order(address, order, lease.fencing_number).await;
            let _ = sender.send(RolloutEvent::Ordered(engine, life, outcome));
        });
    }
}
