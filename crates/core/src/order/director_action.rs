//! What the order director wants done.

use std::net::SocketAddr;

use crate::config::Change;
use crate::identity::{BackEndName, FencingNumber};

use super::FencedOrder;

/// What an [`super::OrderDirector`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectorAction {
    /// Ask an engine for its load report.
    Poll {
        /// The engine.
        back_end: BackEndName,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Give an engine an order, if the lease is still valid when it is sent.
    Order {
        /// The engine.
        back_end: BackEndName,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: FencedOrder,
    },
    /// Write a change of configuration.
    Propose(Change),
    /// An engine has seen a newer number: the lease is lost.
    Superseded(FencingNumber),
}
