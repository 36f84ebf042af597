//! What happens to the migration director.

use std::sync::Arc;

use crate::catalog::Catalog;
use crate::order::HeldLease;

use super::StageMeasurement;

/// What happens to a [`super::MigrationDirector`].
#[derive(Debug, Clone)]
pub enum MigrationEvent {
    /// A new configuration is in force.
    CatalogChanged(Arc<Catalog>),
    /// The lease changed.
    LeaseChanged(Option<HeldLease>),
    /// A process measured.
    Measured(StageMeasurement),
    /// Time passed; due about every second.
    Tick,
}
