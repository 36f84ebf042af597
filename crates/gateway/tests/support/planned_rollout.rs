//! A planner before a table of engines, on a virtual clock.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::engines::{Engine, EngineTable};
use ryerouter_gateway::rollout::{
    EngineReport, OrderOutcome, PublicationTime, RolloutAction, RolloutPlanner, RolloutSettings,
    WeightsDeadlines,
};

use super::records::engine;
use super::test_dialect::MODEL;

/// How long older weights may be used.
pub const GRACE: Duration = Duration::from_secs(7);
/// How often the planner is run.
pub const STEP_MILLIS: u64 = 50;
/// How long an engine loads.
const LOAD_MILLIS: u64 = 650;

/// So long after the moment at which tests begin.
pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// A planner that holds the lease, and what it decides by.
pub struct Rollout {
    pub planner: RolloutPlanner,
    pub engines: EngineTable,
    pub deadlines: WeightsDeadlines,
}

impl Rollout {
    /// Version 2 was named so long ago that its rollout is due at time 0.
    pub fn due(engines: usize) -> Self {
        let mut rollout = Self::new(engines);
        let named = at(0).before(Duration::from_secs(5));
        rollout.deadlines = WeightsDeadlines::new(GRACE);
        rollout
            .deadlines
            .note(MODEL, 2, PublicationTime::Seen(named));
        rollout
    }

    pub fn new(engines: usize) -> Self {
        let mut table = EngineTable::default();
        for index in 0..engines {
            let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
            table.upsert(engine(&format!("e{index:02}"), address, 1));
        }
        let mut deadlines = WeightsDeadlines::new(GRACE);
        deadlines.note(MODEL, 2, PublicationTime::Seen(at(0)));
        Self {
            planner: RolloutPlanner::new(RolloutSettings::default()),
            engines: table,
            deadlines,
        }
    }

    pub fn advance(&mut self, millis: u64) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        self.planner
            .advance(&self.engines, &self.deadlines, at(millis), &mut actions);
        actions
    }

    pub fn report(
        &mut self,
        name: &str,
        taken: u64,
        weights: u64,
        millis: u64,
    ) -> Vec<RolloutAction> {
        let report = EngineReport {
            weights: [(MODEL.to_owned(), weights)].into(),
            is_busy: false,
            orders_taken: taken,
            incarnation: None,
        };
        let mut actions = Vec::new();
        let name = BackEndName::new(name);
        self.planner
            .reported(&name, Some(&report), at(millis), &mut actions);
        actions
    }

    /// A report after which the order is due: announced, then given once nothing waits.
    pub fn report_and_advance(
        &mut self,
        name: &str,
        taken: u64,
        weights: u64,
        millis: u64,
    ) -> Vec<RolloutAction> {
        let mut actions = self.report(name, taken, weights, millis);
        actions.extend(self.advance(millis + 1));
        actions
    }

    /// Loads engines as ordered, while the source is in trouble every `interval`; returns when the
    /// last of them has loaded, if all do.
    pub fn loaded_at(&mut self, interval: Duration, limit: Duration) -> Option<Duration> {
        let mut loading: Vec<(BackEndName, u64)> = Vec::new();
        for millis in (0..limit.as_millis() as u64).step_by(STEP_MILLIS as usize) {
            if millis.is_multiple_of(interval.as_millis() as u64) {
                self.deadlines.extend_from(at(millis));
            }
            loading.retain(|(name, done)| {
                let is_done = *done <= millis;
                if is_done {
                    self.engines.get_mut(name).unwrap().note_weights(MODEL, 2);
                }
                !is_done
            });
            let has_loaded = |engine: &Engine| engine.weights_of(MODEL) == Some(2);
            if self.engines.iter().all(has_loaded) {
                return Some(Duration::from_millis(millis));
            }
            for action in self.advance(millis) {
                match action {
                    RolloutAction::Ask(name) => {
                        self.report(name.as_str(), 0, 1, millis);
                    }
                    RolloutAction::Order(order) => {
                        let name = order.engine.as_str();
                        self.ordered(name, OrderOutcome::Accepted, millis);
                        loading.push((order.engine, millis + LOAD_MILLIS));
                    }
                    RolloutAction::Announce { .. } | RolloutAction::Loaded { .. } => {}
                }
            }
        }
        None
    }

    pub fn ordered(&mut self, name: &str, outcome: OrderOutcome, millis: u64) {
        let mut actions = Vec::new();
        let name = BackEndName::new(name);
        self.planner
            .ordered(&name, outcome, at(millis), &mut actions);
    }
}
