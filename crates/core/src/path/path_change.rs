//! Changes of paths to engines.

use std::time::Duration;

use crate::identity::BackEndName;

/// A change of the paths to engines, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathChange {
    /// An engine is reached through another node, but not directly.
    Blocked {
        /// The engine.
        engine: BackEndName,
        /// Number of engines that are reached only through other nodes.
        blocked: usize,
    },
    /// Engines may be reached directly again, as one of them was.
    Restored {
        /// The engine that was reached.
        engine: BackEndName,
        /// For how long its path was blocked.
        after: Duration,
        /// Number of engines whose paths were blocked.
        blocked: usize,
    },
}
