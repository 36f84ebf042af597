//! A sudden increase of a tenant's requests.

use crate::Timestamp;

/// A sudden increase of a tenant's requests at a node, and what was usual before it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Surge {
    /// When it was noticed.
    pub began_at: Timestamp,
    /// Requests per second at this node.
    pub usual_requests: f64,
    /// Amount per second at the other nodes; zero if the surge says nothing of them.
    pub usual_others: f64,
}
