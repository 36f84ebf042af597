//! What the control thread publishes to traffic threads.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identity::BackEndName;

/// Immutable state that traffic decisions read; a newer one replaces it whole.
#[derive(Debug, Clone, Default)]
pub struct RoutingSnapshot {
    /// The accepted configuration.
    pub catalog: Arc<Catalog>,
    /// Back ends that take no new work: drained by operators, leaving by their own word or the
    /// machine list.
    pub leaving: BTreeSet<BackEndName>,
}
