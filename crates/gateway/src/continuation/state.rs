//! What a node remembers of streams and their versions.

use std::collections::HashMap;
use std::rc::Rc;

use ryerouter_core::continuation::{Register, VersionHistory};

use super::Lookup;

/// What a node remembers of streams and their versions.
#[derive(Debug, Default)]
pub struct Continuations {
    /// Versions of the streams that this node relayed, or holds for others.
    pub register: Register,
    /// Versions that serve the pools.
    pub history: VersionHistory,
    /// Questions that wait for answers, by number.
    pub lookups: HashMap<u64, Rc<Lookup>>,
}
