//! State that the control thread publishes to traffic threads.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identity::BackEndName;

/// Immutable state that traffic decisions read; replaced as a whole by a newer snapshot.
#[derive(Debug, Clone, Default)]
pub struct RoutingSnapshot {
    /// The accepted configuration.
    pub catalog: Arc<Catalog>,
    /// Back ends that get no new work: drained by operators, or leaving according to their own
    /// report or the machine list.
    pub leaving: BTreeSet<BackEndName>,
}
