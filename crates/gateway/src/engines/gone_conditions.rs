//! What engines said of themselves whose entries have gone.

use std::collections::VecDeque;

use ryerouter_core::backpressure::Condition;
use ryerouter_core::identity::{BackEndName, Incarnation};

use super::ToldLife;

/// Most engines that are remembered; the first to go is forgotten.
const MOST_REMEMBERED: usize = 1_024;

/// What engines said of themselves whose entries have gone: an entry may lapse while its engine goes on.
#[derive(Debug, Default)]
pub(super) struct GoneConditions {
    gone: VecDeque<(BackEndName, Option<Incarnation>, Condition)>,
}

impl GoneConditions {
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
        self.gone.push_back((name.clone(), incarnation, condition));
        if self.gone.len() > MOST_REMEMBERED {
            self.gone.pop_front();
        }
    }

    /// An entry is listed: what its engine said before, when it is in the same life.
    pub(super) fn take(
        &mut self,
        name: &BackEndName,
        incarnation: Option<Incarnation>,
    ) -> Option<Condition> {
        let index = self.gone.iter().rposition(|(gone, _, _)| gone == name)?;
        let (_, former, condition) = self.gone.remove(index)?;
        (ToldLife::new(former, incarnation) == ToldLife::Same).then_some(condition)
    }
}
