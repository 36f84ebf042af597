//! An order as the director knows it.

use ryerouter_core::release::Outcome;

use crate::source::OrderedRelease;

/// An order as the director knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOrder {
    /// The order and its record, as last received from the source.
    pub release: OrderedRelease,
    /// Whether the record belongs to an earlier order, because this node saw the order change and the record
    /// stay the same.
    is_record_stale: bool,
}

impl KnownOrder {
    /// An order that is seen for the first time. A record of the same target version is assumed to belong to it.
    pub fn new(release: OrderedRelease) -> Self {
        Self {
            release,
            is_record_stale: false,
        }
    }

    /// The outcome recorded for this order; `None` if there is no record or it belongs to another order.
    pub fn recorded(&self) -> Option<Outcome> {
        let record = self.release.record.as_ref()?;
        let is_own = record.target == self.release.order.target && !self.is_record_stale;
        is_own.then_some(record.outcome)
    }

    /// Whether the release has not ended.
    pub fn is_open(&self) -> bool {
        let recorded = self.recorded();
        recorded.is_none_or(|outcome| outcome == Outcome::Running)
    }

    /// Applies a version of the order received from the source, unless it is older than the known one.
    pub fn apply(&mut self, release: OrderedRelease) {
        if release.revision < self.release.revision {
            return;
        }
        let is_record_same = release.record == self.release.record;
        let is_order_same = release.order == self.release.order;
        self.is_record_stale = is_record_same && (self.is_record_stale || !is_order_same);
        self.release = release;
    }

    /// Applies the version of the order that resulted from recording its outcome, unless it is older than the known
    /// one.
    pub fn apply_recorded(&mut self, release: OrderedRelease) {
        if release.revision < self.release.revision {
            return;
        }
        self.release = release;
        self.is_record_stale = false;
    }
}
