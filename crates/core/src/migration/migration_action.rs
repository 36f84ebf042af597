//! What the migration director wants done.

use crate::config::Change;
use crate::identity::StageName;

/// What a [`super::MigrationDirector`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MigrationAction {
    /// Ask processes (all, or a changing sample) for what they measured of a stage since they were
    /// asked last.
    Collect(StageName),
    /// Write a change of configuration.
    Propose(Change),
}
