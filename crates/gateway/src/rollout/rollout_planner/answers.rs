//! Answers of engines to questions and orders.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::{EngineReport, OpenOrder, OrderOutcome, OrderStep, RolloutAction, RolloutPlanner};

/// Number of times the rest of an engine that does not answer is doubled.
const MAX_REST_DOUBLINGS: u32 = 2;

impl RolloutPlanner {
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

    pub(super) fn finish(
        &mut self,
        engine: &BackEndName,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
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

fn announcement(engine: &BackEndName, open: &OpenOrder) -> RolloutAction {
    RolloutAction::Announce {
        engine: engine.clone(),
        model: open.model.clone(),
        version: open.version,
    }
}
