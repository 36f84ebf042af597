//! An order that was given before the lease was lost.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::Incarnation;

/// An order that was given before the lease was lost: its engine is still asked how it ends.
#[derive(Debug, Clone)]
pub(super) struct GivenOrder {
    /// The life of the engine that it was given to.
    pub(super) incarnation: Option<Incarnation>,
    pub(super) model: String,
    pub(super) version: u64,
    pub(super) given_at: Timestamp,
    /// When to ask the engine next; `None` while an answer is due.
    pub(super) ask_at: Option<Timestamp>,
}
