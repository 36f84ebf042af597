//! Roles of operators.

use derive_more::{Display, FromStr};

/// What an operator may do; each role may do all that the ones before it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
pub enum OperatorRole {
    /// Read configuration, status and explanations.
    Viewer,
    /// Change the configuration.
    Editor,
    /// Make nodes read their settings and keys again.
    Administrator,
}
