//! Events of an allocator.

use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identity::NodeName;

use super::LimitMessage;

/// Events that a [`super::LimitAllocator`] handles.
#[derive(Debug, Clone)]
pub enum LimitAllocatorEvent {
    /// A message of another process, or of this one, arrived.
    Received {
        /// The sender.
        from: NodeName,
        /// The message.
        message: LimitMessage,
    },
    /// A new configuration with limits and keeper groups is in force.
    CatalogChanged(Arc<Catalog>),
}
