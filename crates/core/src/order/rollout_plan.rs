//! Which engine of a pool loads weights next.

use std::collections::BTreeMap;

use crate::identity::{BackEndName, WeightsVersion};

use super::engine_control::EngineControl;

/// A pool's engines and what they should serve.
pub(super) struct RolloutPlan<'a> {
    pub engines: &'a BTreeMap<&'a BackEndName, &'a EngineControl>,
    /// What all should serve in the end.
    pub target: WeightsVersion,
    /// What requests may still ask for, besides the target.
    pub before: Option<WeightsVersion>,
    pub loads_at_once: usize,
}

impl RolloutPlan<'_> {
    /// Engines to load the target now, in order: those that serve nothing of use first, then
    /// others as long as no more are missing than may load at once.
    pub fn next_loads(&self) -> Vec<BackEndName> {
        let running = self.count(|engine| engine.load.is_some());
        let room = self.loads_at_once.saturating_sub(running);
        let idle = self.names(|engine| self.is_ready_to_load(engine) && !self.is_of_use(engine));
        let serving = self.names(|engine| self.is_ready_to_load(engine) && self.is_of_use(engine));
        let missing = self.count(|engine| !self.is_of_use(engine)).max(running);
        let spare = self.loads_at_once.saturating_sub(missing);
        let from_serving = serving.into_iter().take(spare);
        idle.into_iter().chain(from_serving).take(room).collect()
    }

    /// Thousandths of the engines that serve the target, of those that serve anything of use.
    pub fn ready_permille(&self) -> u16 {
        let ready = self.count(|engine| engine.serves(self.target));
        let of_use = self.count(|engine| self.is_of_use(engine));
        u16::try_from(ready * 1_000 / of_use.max(1)).unwrap_or(1_000)
    }

    fn is_ready_to_load(&self, engine: &EngineControl) -> bool {
        engine.report.is_some()
            && engine.load.is_none()
            && engine.open_order.is_none()
            && !engine.serves(self.target)
    }

    fn is_of_use(&self, engine: &EngineControl) -> bool {
        engine.serves(self.target) || self.before.is_some_and(|before| engine.serves(before))
    }

    fn count(&self, condition: impl Fn(&EngineControl) -> bool) -> usize {
        self.engines
            .values()
            .filter(|engine| condition(engine))
            .count()
    }

    fn names(&self, condition: impl Fn(&EngineControl) -> bool) -> Vec<BackEndName> {
        self.engines
            .iter()
            .filter(|(_, engine)| condition(engine))
            .map(|(name, _)| (*name).clone())
            .collect()
    }
}
