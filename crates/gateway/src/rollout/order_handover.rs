//! Hands over the order lease to a node that reaches more engines; see docs/design/orders.md.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName};
use ryerouter_core::order::LeaseSettings;
use slog::info;
use tokio::task::spawn_local;

use super::reach_survey::ReachSurvey;
use super::unreached_engines::UnreachedEngines;
use super::{EngineOrders, RolloutPlanner};
use crate::gateway::Gateway;
use crate::peers::{ReachAnswer, ReachQuestion};

/// A node that reaches one in so many of the engines takes the lease over. A small share is enough,
/// since the holder reaches none of them and has nothing else to order.
const MIN_REACHED_PART: usize = 8;

/// Finds out whether other nodes reach the engines that the holder of the order lease doesn't.
pub(super) struct OrderHandover {
    gateway: Rc<Gateway>,
    orders: Rc<dyn EngineOrders>,
    /// For how long a successor comes before all other nodes.
    succession: Duration,
    unreached: UnreachedEngines,
    survey: ReachSurvey,
}

impl OrderHandover {
    pub(super) fn new(
        gateway: Rc<Gateway>,
        orders: Rc<dyn EngineOrders>,
        lease: &LeaseSettings,
    ) -> Self {
        Self {
            gateway,
            orders,
            // Twice what it takes without lost messages.
            succession: (lease.release_margin + lease.look_interval) * 2,
            unreached: UnreachedEngines::default(),
            survey: ReachSurvey::default(),
        }
    }

    /// Does what is due: as the holder of the lease with this fencing number, or for the holder.
    pub(super) fn advance(&mut self, planner: &RolloutPlanner, fence: Option<u64>) {
        self.answer_holder();
        match fence {
            Some(fence) => self.survey_reach(planner, fence),
            None => self.clear(),
        }
    }

    fn clear(&mut self) {
        self.unreached.clear();
        self.end_survey();
    }

    fn end_survey(&mut self) {
        if self.survey.question().is_some() {
            self.survey.clear();
            self.gateway.set_reach_question(None);
        }
    }

    fn survey_reach(&mut self, planner: &RolloutPlanner, fence: u64) {
        let now = self.gateway.clock().now();
        let is_progressing = planner.is_progressing(now);
        self.unreached
            .observe(planner.unanswered(), is_progressing, now);
        let blocking = self.unreached.blocking(now);
        if blocking.is_empty() || !self.gateway.may_hand_over() {
            self.end_survey();
        } else if !self.survey.is_open(now) && !self.hand_over(fence) {
            self.begin_round(&blocking, fence, now);
        }
    }

    fn begin_round(&mut self, blocking: &[BackEndName], fence: u64, now: Timestamp) {
        let nodes = self.gateway.order_candidates();
        self.survey.begin_round(fence, blocking, &nodes, now);
        let question = self.survey.question().cloned();
        if let Some(question) = &question {
            let candidates = question.candidates.iter().map(NodeName::as_str);
            let candidates: Vec<_> = candidates.collect();
            info!(self.gateway.log(), "engines_unreached"; "engines" => blocking.len(),
                "asked_for" => question.engines.len(), "round" => question.round,
                "candidates" => candidates.join(","), "fence" => fence);
        }
        self.gateway.set_reach_question(question);
    }

    /// Gives up the lease if a node that was asked reaches engines that do not answer this one.
    fn hand_over(&mut self, fence: u64) -> bool {
        let Some(question) = self.survey.question() else {
            return false;
        };
        let Some((node, reached)) = self.gateway.best_reach(question) else {
            return false;
        };
        let (asked_for, round) = (question.engines.len(), question.round);
        if reached == 0 || reached * MIN_REACHED_PART < asked_for {
            info!(self.gateway.log(), "orders_kept"; "best" => %node, "reached" => reached,
                "asked_for" => asked_for, "round" => round, "fence" => fence);
            return false;
        }
        info!(self.gateway.log(), "orders_handed_over"; "successor" => %node,
            "reason" => "reaches_more_engines", "reached" => reached, "asked_for" => asked_for,
            "round" => round, "fence" => fence);
        self.gateway.hand_orders_over(node, fence, self.succession);
        self.survey.clear();
        true
    }

    /// Asks engines for reports when the holder of the lease wants to know whether this node
    /// reaches them.
    fn answer_holder(&self) {
        if let Some((question, holder)) = self.gateway.take_reach_question() {
            let (gateway, orders) = (Rc::clone(&self.gateway), Rc::clone(&self.orders));
            spawn_local(answer(gateway, orders, question, holder));
        }
    }
}

async fn answer(
    gateway: Rc<Gateway>,
    orders: Rc<dyn EngineOrders>,
    question: ReachQuestion,
    holder: SocketAddr,
) {
    let known = question.engines.iter();
    let known = known.filter_map(|name| Some((name, gateway.address_of(name)?)));
    let reports = known.map(async |(name, address)| {
        let report = orders.report(name.clone(), address).await;
        report.map(|_| name.clone())
    });
    let reached: Vec<_> = join_all(reports).await.into_iter().flatten().collect();
    info!(gateway.log(), "engine_reach_told"; "reached" => reached.len(),
        "asked_for" => question.engines.len(), "round" => question.round, "fence" => question.fence);
    let answer = ReachAnswer {
        fence: question.fence,
        round: question.round,
        reached,
    };
    gateway.answer_reach_question(answer, holder);
}
