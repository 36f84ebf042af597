//! A node that tells which engines it reaches.

use super::Site;

/// A node that tells which engines it reaches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reporter {
    /// Number of the node's process, unique among nodes.
    pub id: u64,
    /// Where the node runs.
    pub site: Site,
}
