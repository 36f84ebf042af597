//! An order that was given before the lease was lost.

use ryerouter_core::Timestamp;

/// An order that was given before the lease was lost: its engine is still asked how it ends.
#[derive(Debug, Clone)]
pub(super) struct GivenOrder {
    pub(super) model: String,
    pub(super) version: u64,
    pub(super) given_at: Timestamp,
    /// When to ask the engine next; `None` while an answer is due.
    pub(super) ask_at: Option<Timestamp>,
}
