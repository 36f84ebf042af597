//! An order in progress.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{Incarnation, PoolName};

use crate::engines::Engine;

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderStep {
    /// Whether the engine can be reached is being asked.
    Probing,
    /// What the engine has and has been told is being asked.
    Asking,
    /// It gets no new requests; those that wait in it are to begin before the order is given.
    Draining {
        /// Orders that it has taken.
        orders_taken: u64,
        /// When the order is given at the latest.
        until: Timestamp,
    },
    /// The order was given; its answer is due.
    Given,
    /// The engine loads.
    Loading,
}

impl OrderStep {
    /// Whether the order is yet to be given, for the first time or again.
    pub(super) fn is_pending(self) -> bool {
        matches!(self, Self::Probing | Self::Asking | Self::Draining { .. })
    }
}

/// An order in progress at one engine.
#[derive(Debug, Clone)]
pub(super) struct OpenOrder {
    pub(super) pool: PoolName,
    /// The life of the engine that it is for.
    pub(super) incarnation: Option<Incarnation>,
    pub(super) model: String,
    pub(super) version: u64,
    pub(super) step: OrderStep,
    /// Whether it need not have begun yet.
    pub(super) is_early: bool,
    /// When this began.
    pub(super) opened_at: Timestamp,
    /// When the order was last given.
    pub(super) given_at: Timestamp,
    /// How often the order was given.
    pub(super) times_given: u32,
    /// Whether the order got no answer and shows no effect: the engine may not have heard it.
    pub(super) is_unanswered: bool,
    /// Whether the engine's last report says that it carries out an order.
    pub(super) is_busy: bool,
    /// When other nodes were last told that the engine loads.
    pub(super) announced_at: Timestamp,
    /// When to ask the engine next; `None` while an answer is due.
    pub(super) ask_at: Option<Timestamp>,
}

impl OpenOrder {
    /// An order that begins with a question to the engine.
    pub(super) fn new(engine: &Engine, model: &str, version: u64, now: Timestamp) -> Self {
        Self {
            pool: engine.entry.pool.clone(),
            incarnation: engine.entry.incarnation,
            model: model.to_owned(),
            version,
            step: OrderStep::Asking,
            is_early: false,
            opened_at: now,
            given_at: now,
            times_given: 0,
            announced_at: now,
            is_unanswered: false,
            is_busy: false,
            ask_at: None,
        }
    }

    /// Whether the engine takes one of the places of engines that load. One that is only probed, or
    /// that may not have heard its order, keeps no other from loading.
    pub(super) fn takes_place(&self) -> bool {
        self.step != OrderStep::Probing && !self.is_unanswered
    }
}
