//! An order as the director knows it.

use ryerouter_core::release::Outcome;

use crate::source::OrderedRelease;

/// An order as the director knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOrder {
    /// The order and its record, as the source last told.
    pub release: OrderedRelease,
    /// Whether the record is that of an order before, as this node saw the order change and the record stay.
    is_record_stale: bool,
}

impl KnownOrder {
    /// An order that is seen for the first time: a record of its target version is taken for its own.
    pub fn new(release: OrderedRelease) -> Self {
        Self {
            release,
            is_record_stale: false,
        }
    }

    /// What is recorded of this order.
    pub fn recorded(&self) -> Option<Outcome> {
        let record = self.release.record.as_ref()?;
        let is_own = record.target == self.release.order.target && !self.is_record_stale;
        is_own.then_some(record.outcome)
    }

    /// Whether the order has not come to its end.
    pub fn is_open(&self) -> bool {
        let recorded = self.recorded();
        recorded.is_none_or(|outcome| outcome == Outcome::Running)
    }

    /// Takes what the source told later; what it told earlier is passed over.
    pub fn apply(&mut self, release: OrderedRelease) {
        if release.revision < self.release.revision {
            return;
        }
        let is_record_same = release.record == self.release.record;
        let is_order_same = release.order == self.release.order;
        self.is_record_stale = is_record_same && (self.is_record_stale || !is_order_same);
        self.release = release;
    }

    /// Takes the order as it stood when something was recorded of it.
    pub fn apply_recorded(&mut self, release: OrderedRelease) {
        if release.revision < self.release.revision {
            return;
        }
        self.release = release;
        self.is_record_stale = false;
    }
}
