//! This node's copies of what the source holds.

use ryerouter_core::Timestamp;

use super::ItemKind;
use crate::gateway::ProofOfFreshness;

/// This node's copy of one kind of item.
#[derive(Debug, Default)]
pub struct Replica {
    /// Revision of the source up to which changes are in the copy.
    pub revision: Option<u64>,
    /// Nothing changed after this revision until the copy was last proven current.
    pub changed_until: Option<u64>,
    /// When the copy was last certainly current.
    pub freshness: ProofOfFreshness,
    /// When the whole list was last asked for; a list that may be stale proves nothing, but was not
    /// much older.
    pub read_at: Option<Timestamp>,
    /// Whether the source does not hold the changes after `revision` any more, so that the list must
    /// be read again.
    pub is_history_lost: bool,
    /// Whether another node has a newer copy that this one could not take over, so that the source
    /// must be asked at once.
    pub is_behind: bool,
}

/// The copies of all kinds.
#[derive(Debug, Default)]
pub struct Replicas {
    configuration: Replica,
    engines: Replica,
    weights: Replica,
}

impl Replicas {
    /// The copy of one kind.
    pub fn of(&self, kind: ItemKind) -> &Replica {
        match kind {
            ItemKind::Configuration => &self.configuration,
            ItemKind::Engines => &self.engines,
            ItemKind::Weights => &self.weights,
        }
    }

    /// The copy of one kind, to change it.
    pub fn of_mut(&mut self, kind: ItemKind) -> &mut Replica {
        match kind {
            ItemKind::Configuration => &mut self.configuration,
            ItemKind::Engines => &mut self.engines,
            ItemKind::Weights => &mut self.weights,
        }
    }
}
