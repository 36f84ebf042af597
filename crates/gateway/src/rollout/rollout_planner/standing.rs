//! How far the planner's rollouts are.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::{
    BehindReason, Engine, EngineTable, OpenOrder, OrderStep, RolloutPlanner, RolloutStanding,
    WeightsDeadlines,
};

impl RolloutPlanner {
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
}
