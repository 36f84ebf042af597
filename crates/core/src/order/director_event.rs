//! What happens to the order director.

use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identity::{BackEndName, Incarnation};

use super::{EngineReport, HeldLease, OrderAnswer};

/// What happens to an [`super::OrderDirector`].
#[derive(Debug, Clone)]
pub enum DirectorEvent {
    /// A new configuration is in force.
    CatalogChanged(Arc<Catalog>),
    /// The lease changed.
    LeaseChanged(Option<HeldLease>),
    /// An engine reported.
    Reported {
        /// The engine.
        back_end: BackEndName,
        /// What it says; `None` when it did not answer.
        report: Option<EngineReport>,
    },
    /// An engine answered an order, or failed to.
    OrderAnswered {
        /// The engine.
        back_end: BackEndName,
        /// Its answer.
        answer: OrderAnswer,
    },
    /// Traffic saw a process of an engine; a new one has neither weights nor adapters.
    IncarnationSeen {
        /// The engine.
        back_end: BackEndName,
        /// Its process.
        incarnation: Incarnation,
    },
    /// Time passed; due about every 100 ms.
    Tick,
}
