//! What happens to a bank.

use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identity::NodeName;

use super::LimitMessage;

/// What happens to a [`super::LimitAllocator`].
#[derive(Debug, Clone)]
pub enum LimitAllocatorEvent {
    /// A message of another process, or of this one, arrived.
    Received {
        /// The sender.
        from: NodeName,
        /// The message.
        message: LimitMessage,
    },
    /// A new configuration is in force: limits and keeper groups.
    CatalogChanged(Arc<Catalog>),
}
