//! Request for a permit.

use crate::Timestamp;

/// Number of a permit, unique at its holder.
pub type Number = u64;

/// Request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask<H> {
    /// The node that asks.
    pub holder: H,
    /// Number that the permit gets.
    pub number: Number,
    /// How long the node waits for the permit.
    pub until: Timestamp,
}
