//! What engines said of themselves whose entries have gone.

use std::collections::VecDeque;

use ryerouter_core::backpressure::Condition;
use ryerouter_core::identity::{BackEndName, Incarnation};

use super::IncarnationOrder;

/// Most engines that are remembered; the first to go is forgotten.
const MAX_ENTRIES: usize = 1_024;

/// What engines said of themselves whose entries have gone: an entry may lapse while its engine goes on.
#[derive(Debug, Default)]
pub(super) struct RemovedConditions {
    removed: VecDeque<(BackEndName, Option<Incarnation>, Condition)>,
}

impl RemovedConditions {
    /// An entry has gone.
    pub(super) fn keep(
        &mut self,
        name: &BackEndName,
        incarnation: Option<Incarnation>,
        condition: Condition,
    ) {
        if condition.is_empty() {
            return;
        }
        self.removed
            .push_back((name.clone(), incarnation, condition));
        if self.removed.len() > MAX_ENTRIES {
            self.removed.pop_front();
        }
    }

    /// An entry is listed: what its engine said before, when it is in the same life.
    pub(super) fn take(
        &mut self,
        name: &BackEndName,
        incarnation: Option<Incarnation>,
    ) -> Option<Condition> {
        let index = self
            .removed
            .iter()
            .rposition(|(removed, _, _)| removed == name)?;
        let (_, former, condition) = self.removed.remove(index)?;
        (IncarnationOrder::new(former, incarnation) == IncarnationOrder::Same).then_some(condition)
    }
}
