//! What an engine says to an order, and of itself.

use std::collections::BTreeMap;

use derive_more::Display;
use ryerouter_core::identity::Incarnation;

/// What an engine says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderOutcome {
    /// It is being done.
    #[display("accepted")]
    Accepted,
    /// It holds already.
    #[display("already_done")]
    AlreadyDone,
    /// Another order is under way, or others came before.
    #[display("conflict")]
    Conflict,
    /// A holder with a higher fencing number has given orders.
    #[display("superseded")]
    Superseded,
    /// It is not this engine any more, or makes no sense of the order.
    #[display("rejected")]
    Rejected,
    /// No answer: it may be done, now or later.
    #[display("unknown")]
    Unknown,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Version of the weights of each model.
    pub weights: BTreeMap<String, u64>,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Orders that it has taken.
    pub orders_taken: u64,
    /// Which of its lives this is about; `None` when it does not tell.
    pub incarnation: Option<Incarnation>,
}
