//! The port to the orders of releases.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{Order, Record};

use super::SourceError;

/// An order, and what is recorded of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderedRelease {
    /// The order.
    pub order: Order,
    /// Revision of the source at its last change, by the operator or by a record.
    pub revision: u64,
    /// What was recorded, of this order or of one before it.
    pub record: Option<Record>,
}

/// All orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseList {
    /// The orders, one a pool at most.
    pub releases: Vec<OrderedRelease>,
    /// Revision of the source.
    pub revision: u64,
}

/// A change of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseChange {
    /// It is given, or has changed, or something was recorded of it.
    Ordered(OrderedRelease),
    /// The pool has no order any more, or none that can be read.
    Gone(PoolName),
}

/// Changes up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseBatch {
    /// The changes.
    pub changes: Vec<ReleaseChange>,
    /// Revision of the source.
    pub revision: u64,
}

/// How recording went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Recorded {
    /// It is recorded.
    Written(OrderedRelease),
    /// The order has changed since it was read, and nothing was recorded.
    Conflict,
}

/// Reads orders of releases, and records how far they have come.
pub trait ReleaseStore {
    /// All orders.
    fn list(&self) -> LocalBoxFuture<'_, Result<ReleaseList, SourceError>>;

    /// Changes since `revision`; answers empty when there were none for `wait`.
    fn watch(
        &self,
        revision: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<ReleaseBatch, SourceError>>;

    /// The order of one pool, if there is one.
    fn read<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> LocalBoxFuture<'a, Result<Option<OrderedRelease>, SourceError>>;

    /// Records what has become of an order, if neither it nor its record has changed since it was read: a call
    /// that is carried out late then changes nothing newer.
    fn record<'a>(
        &'a self,
        release: &'a OrderedRelease,
        record: &'a Record,
    ) -> LocalBoxFuture<'a, Result<Recorded, SourceError>>;
}
