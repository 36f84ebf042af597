//! Orders that were given under a lease that is lost.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};

use super::given_order::GivenOrder;
use super::open_order::{OpenOrder, OrderStep};
use super::{EngineReport, RolloutAction};
use crate::engines::IncarnationOrder;

/// Orders that were given under a lease that is lost.
///
/// They are only observed: reports are no orders, and all nodes wait to hear that the engines have
/// loaded.
#[derive(Debug, Default)]
pub(super) struct GivenOrders {
    orders: BTreeMap<BackEndName, GivenOrder>,
}

impl GivenOrders {
    /// The lease was lost while this order was open.
    pub(super) fn take_over(&mut self, engine: BackEndName, open: OpenOrder) {
        if !matches!(open.step, OrderStep::Given | OrderStep::Loading) {
            return;
        }
        let given = GivenOrder {
            incarnation: open.incarnation,
            model: open.model,
            version: open.version,
            given_at: open.given_at,
            ask_at: Some(open.given_at),
        };
        self.orders.insert(engine, given);
    }

    /// An engine is in this life: what it was ordered before has ended with that one.
    pub(super) fn forget_other_lives(&mut self, engine: &BackEndName, life: Option<Incarnation>) {
        let known = self.orders.get(engine);
        if known.is_some_and(|given| {
            IncarnationOrder::new(given.incarnation, life) != IncarnationOrder::Same
        }) {
            self.orders.remove(engine);
        }
    }

    /// Appends the questions that are due; nothing is asked `longest` after the order.
    pub(super) fn observe(
        &mut self,
        longest: Duration,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.orders
            .retain(|_, given| now.since(given.given_at) < longest);
        for (name, given) in &mut self.orders {
            if given.ask_at.is_some_and(|at| at <= now) {
                given.ask_at = None;
                actions.push(RolloutAction::Ask(name.clone()));
            }
        }
    }

    /// An engine reported, or could not be asked (`None`); it is asked again `again_after`.
    pub(super) fn reported(
        &mut self,
        engine: &BackEndName,
        report: Option<&EngineReport>,
        again_after: Duration,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        let Some(given) = self.orders.get_mut(engine) else {
            return;
        };
        let has = report.and_then(|report| report.weights.get(&given.model));
        if has.is_none_or(|has| *has < given.version) {
            given.ask_at = Some(now.after(again_after));
            return;
        }
        actions.push(RolloutAction::Loaded {
            engine: engine.clone(),
            model: given.model.clone(),
            version: given.version,
            after: now.since(given.given_at),
        });
        self.orders.remove(engine);
    }
}
