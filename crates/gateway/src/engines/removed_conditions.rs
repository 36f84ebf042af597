//! State signalled by engines that are no longer listed.

use std::collections::VecDeque;

use ryerouter_core::backpressure::Condition;
use ryerouter_core::identity::{BackEndName, Incarnation};

use super::IncarnationOrder;

/// Maximum number of entries; the oldest one is evicted first.
const MAX_ENTRIES: usize = 1_024;

/// State signalled by engines that are no longer listed. An entry may be evicted while its engine
/// is still running.
#[derive(Debug, Default)]
pub(super) struct RemovedConditions {
    removed: VecDeque<(BackEndName, Option<Incarnation>, Condition)>,
}

impl RemovedConditions {
    /// Keeps the state of an engine that was removed from the list.
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

    /// Takes the state of an engine that is listed again, if it is still the same incarnation.
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
